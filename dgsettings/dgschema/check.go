package dgschema

import "dandeliongap.example/dandeliongap/dgsettings/dgtext"

// Check is one check of a text, with its documentation.
type Check struct {
	Name    string // as in faults and in "dandeliongap check --explain NAME"
	Title   string // one line
	Text    string // what is wrong, why it matters, what to do
	Since   string // first release that has the check
	Example string // a text with the fault, or a description of one
	// Run returns all faults that the check finds. The caller sets Fault.Check.
	Run func(in *Input) []dgtext.Fault
}

// Input is a text to check, with its parsed form and its schema.
type Input struct {
	Text     []byte
	Document *dgtext.Document // nil for the checks of size and encoding
	Schema   *Schema
}

// ValueFaults parses all values and returns those faults whose check has the given
// name.
func (in *Input) ValueFaults(check string) dgtext.Report {
	var report dgtext.Report
	in.EachKey(func(section *dgtext.Section, key dgtext.Key, rule *KeyRule) {
		if _, fault := rule.Parse(key.Value); fault != nil && fault.Check == check {
			report.Add(key.Line, "%s in %s: %s", key.Name, section.Header(), fault.Message)
		}
	})
	return report
}

// SectionsOfKind returns the sections of one kind, or none if the schema does not
// have that kind. Checks of deployment texts therefore find nothing in daemon
// settings, and vice versa.
func (in *Input) SectionsOfKind(kind string) []*dgtext.Section {
	if in.Schema.Section(kind) == nil {
		return nil
	}
	return in.Document.SectionsOfKind(kind)
}

// Services returns the services of a deployment text, in the order of the text. It
// returns none for daemon settings.
func (in *Input) Services() []Service {
	if in.Schema.Section(SectionService) == nil {
		return nil
	}
	return Services(in.Document)
}
