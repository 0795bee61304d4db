package dgsettings_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap/dgproperty"
	"dandeliongap.example/dandeliongap/dgsettings"
	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"pgregory.net/rapid"
)

func init() { dgproperty.SetRapidDefaults(1, 0) }

// tb is implemented by *testing.T and *rapid.T.
type tb interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkOutcome fails the test unless the text either parsed or has faults, each with
// a check, a message and a line of the text.
func checkOutcome(t tb, text []byte, parsed bool, faults dgsettings.Faults) {
	t.Helper()
	if parsed == faults.Any() {
		t.Fatalf("parsed: %v, faults: %v", parsed, faults)
	}
	lines := max(1, len(slices.Collect(bytes.Lines(text))))
	for _, f := range faults.List {
		if f.Line < 1 || f.Line > lines || f.Check == "" || f.Message == "" {
			t.Fatalf("fault %+v in a text of %d lines", f, lines)
		}
	}
}

func checkDeployment(t tb, text []byte) {
	t.Helper()
	d, faults := dgsettings.ParseDeployment("text", text)
	checkOutcome(t, text, d != nil, faults)
}

func checkDaemon(t tb, text []byte) {
	t.Helper()
	d, faults := dgsettings.ParseDaemon("text", text)
	checkOutcome(t, text, d.VM != "", faults)
}

// sampleTexts returns two example files and the test texts of all checks.
func sampleTexts(t testing.TB) [][]byte {
	paths, err := filepath.Glob("*/testdata/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	var all [][]byte
	for _, path := range append(paths, "../examples/kelani.ini", "../examples/daemon.ini") {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, text)
	}
	return all
}

// Guards against a panic, a text that neither parses nor has a fault, and a fault
// without a valid line. The texts are the samples with one to four random edits.
func TestAnyTextParsesOrHasFaults(t *testing.T) {
	seeds := sampleTexts(t)
	fragments := rapid.SampledFrom([]string{
		"[", "]", "=", "\n", "\r\n", " #", ";", "\"", "`", "\"\"\"", "\\\n", "%(a)s", "\x00", "\xff", "\ufeff", "\u00a0",
		"[service a]", "[defaults a]", "[DEFAULT]", "like = a", "depends = a, b", "-", "0", "-1", "9223372036854775808",
	})
	rapid.Check(t, func(rt *rapid.T) {
		text := slices.Clone(rapid.SampledFrom(seeds).Draw(rt, "text"))
		for range rapid.IntRange(1, 4).Draw(rt, "changes") {
			from := rapid.IntRange(0, len(text)).Draw(rt, "from")
			to := min(len(text), from+rapid.IntRange(0, 30).Draw(rt, "removed"))
			insert := rapid.OneOf(fragments, rapid.String()).Draw(rt, "insert")
			text = slices.Concat(text[:from], []byte(insert), text[to:])
		}
		checkDeployment(rt, text)
		checkDaemon(rt, text)
	})
}

// requiredKeys are the keys that a leaf service needs besides its replicas.
const requiredKeys = "class = ordinary\ndeadline = 300ms\npartial = yes\nactions = no\n" +
	"slots = 3\nconnections = 30\nconnect cost = 6ms\ncold limit = 1\n"

// drawDeployment returns a random valid text. Its sections are in any order, and its
// leaf services take all, some or none of their keys from a defaults section.
func drawDeployment(t *rapid.T) string {
	sections := []string{
		"[deployment]\nname = drawn\nzones = zone-a, zone-b\nhedge extra = 5%\n",
		"[defaults shard]\n" + requiredKeys,
		"[service all]\nlike = shard\ndepends = leaf-0\n",
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "leaves") {
		keys := rapid.SampledFrom([]string{"like = shard\n", "like = shard\n" + requiredKeys, requiredKeys, "like = shard\nslots = 6\n"}).Draw(t, "keys")
		section := fmt.Sprintf("[service leaf-%d]\n%s", i, keys)
		for n := range rapid.IntRange(1, 2).Draw(t, "replicas") {
			section += fmt.Sprintf("replica %d = 127.0.0.%d:%d in zone-a\n", 2*i+n+1, i+1, 9000+n)
		}
		sections = append(sections, section)
	}
	return strings.Join(rapid.Permutation(sections).Draw(t, "order"), "\n")
}

// isOptional reports whether the text may parse to another deployment after line i is
// deleted. This holds for a replica, and for a key that the service then takes from
// its defaults section.
func isOptional(lines []string, i int) bool {
	if strings.HasPrefix(lines[i], "replica ") {
		return true
	}
	header := i
	for header > 0 && !strings.HasPrefix(lines[header], "[") {
		header--
	}
	return i > header+1 && strings.HasPrefix(lines[header+1], "like = ") && !strings.HasPrefix(lines[i], "depends")
}

// checkDeletions deletes each line in turn. It fails the test if the rest of the text
// parses to another deployment and the line is not optional.
func checkDeletions(t tb, text string) {
	t.Helper()
	whole, faults := dgsettings.ParseDeployment("whole", []byte(text))
	if faults.Any() {
		t.Fatalf("%v\n%s", faults, text)
	}
	lines := slices.Collect(strings.Lines(text))
	for i := range lines {
		rest := strings.Join(slices.Delete(slices.Clone(lines), i, i+1), "")
		d, faults := dgsettings.ParseDeployment("rest", []byte(rest))
		if !faults.Any() && !reflect.DeepEqual(d, whole) && !isOptional(lines, i) {
			t.Fatalf("without line %d (%q) the text parses to another deployment:\n%s", i+1, lines[i], text)
		}
	}
}

// Guards against a missing line, in particular a section header, that changes the
// meaning of a text without a fault.
func TestDeletedRequiredLineIsAFault(t *testing.T) {
	for _, name := range []string{"kelani.ini", "stejar.ini"} {
		text, err := os.ReadFile("../examples/" + name)
		if err != nil {
			t.Fatal(err)
		}
		checkDeletions(t, string(text))
	}
	rapid.Check(t, func(rt *rapid.T) { checkDeletions(rt, drawDeployment(rt)) })
}

// Guards against a required key of a daemon whose absence is not a fault, and an
// optional key whose absence is one.
func TestDeletedRequiredDaemonLineIsAFault(t *testing.T) {
	text, err := os.ReadFile("../examples/daemon.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range dgschema.Daemon.Section(dgschema.SectionDaemon).Keys {
		rest := strings.ReplaceAll(string(text), "\n"+rule.Name+" = ", "\n# ")
		if _, faults := dgsettings.ParseDaemon("rest", []byte(rest)); faults.Any() != rule.Required {
			t.Errorf("without %q: %v", rule.Name, faults)
		}
	}
}

// Guards against a default documented in the schema that differs from the value that
// applies if the key is absent.
func TestDocumentedDefaultsApply(t *testing.T) {
	text, err := os.ReadFile("../examples/daemon.ini")
	if err != nil {
		t.Fatal(err)
	}
	want, _ := dgsettings.ParseDaemon("example", text)
	withDefaults := string(text)
	for _, section := range dgschema.Daemon.Sections {
		for _, rule := range section.Keys {
			if rule.Default != "" {
				header := "[" + section.Kind + "]\n"
				withDefaults = strings.Replace(withDefaults, header, header+rule.Name+" = "+rule.Default+"\n", 1)
			}
		}
	}
	got, faults := dgsettings.ParseDaemon("filled", []byte(withDefaults))
	if faults.Any() || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v, faults %v", got, want, faults)
	}
}

// Guards against a deleted line, or a line marked "leaving", that renames or changes
// other replicas.
func TestReplicaLinesAreIndependent(t *testing.T) {
	text, err := os.ReadFile("../examples/kelani.ini")
	if err != nil {
		t.Fatal(err)
	}
	before, _ := dgsettings.ParseDeployment("before", text)
	changed := bytes.Replace(text, []byte("replica 1 = 127.0.0.1:21000 in zone-a\n"), nil, 1)
	changed = bytes.Replace(changed, []byte("127.0.0.1:21002 in zone-b"), []byte("127.0.0.1:21002 in zone-b leaving"), 1)
	after, faults := dgsettings.ParseDeployment("after", changed)
	if faults.Any() {
		t.Fatal(faults)
	}
	if after.Replica("order-shard-01/1") != nil || !after.Replica("order-shard-02/1").Leaving {
		t.Error("the deleted line or the word leaving has no effect")
	}
	for name, service := range before.Services {
		for _, replica := range service.Replicas {
			if replica.ID == "order-shard-01/1" || replica.ID == "order-shard-02/1" {
				continue
			}
			if got := after.Replica(replica.ID); got == nil || *got != replica {
				t.Errorf("%s: replica %s is %+v", name, replica.ID, got)
			}
		}
	}
}

// Guards against a text that makes ParseDeployment panic, return both a Deployment
// and faults, or return neither.
func FuzzParseDeployment(f *testing.F) {
	for _, text := range sampleTexts(f) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) { checkDeployment(t, text) })
}

// Guards against a text that makes ParseDaemon panic, return both settings and
// faults, or return neither.
func FuzzParseDaemon(f *testing.F) {
	for _, text := range sampleTexts(f) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) { checkDaemon(t, text) })
}
