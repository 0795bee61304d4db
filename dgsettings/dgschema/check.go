package dgschema

import "dandeliongap.example/dandeliongap/dgsettings/dgtext"

// Check is one check of a text: its documentation and its code.
type Check struct {
	Name    string // as in faults and in "dandeliongap check --explain NAME"
	Title   string // one line
	Text    string // what is wrong, why it matters, what to do
	Since   string // first release that has the check
	Example string // a text with the fault
	// Run returns all faults of this kind. Whoever calls it adds the name of the
	// check to them.
	Run func(in *Input) []dgtext.Fault
}

// Input is what a check looks at.
type Input struct {
	Text     []byte
	Document *dgtext.Document // nil for the checks of bytes
	Schema   *Schema
}

// ValueFaults returns the faults of single values that belong to one check.
func (in *Input) ValueFaults(check string) dgtext.Report {
	var report dgtext.Report
	in.EachKey(func(section *dgtext.Section, key dgtext.Key, rule *KeyRule) {
		if _, problem := rule.Parse(key.Value); problem != nil && problem.Check == check {
			report.Add(key.Line, "%s in %s: %s", key.Name, section.Header(), problem.Message)
		}
	})
	return report
}

// SectionsOfKind returns the sections of one kind, none if the schema does not have them: the
// checks of deployment texts find nothing in daemon settings, and the reverse.
func (in *Input) SectionsOfKind(kind string) []*dgtext.Section {
	if in.Schema.Section(kind) == nil {
		return nil
	}
	return in.Document.SectionsOfKind(kind)
}

// Services returns the services of a deployment text, in the order of the text.
func (in *Input) Services() []Service {
	if in.Schema.Section(SectionService) == nil {
		return nil
	}
	return Services(in.Document)
}
