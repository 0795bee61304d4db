package dgproperty_test

import (
	"flag"
	"testing"

	"dandeliongap.example/dandeliongap/dgproperty"
	. "github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers the flags
)

// TestSetRapidDefaults guards against property tests that use a different seed on
// each run.
func TestSetRapidDefaults(t *testing.T) {
	g := NewWithT(t)
	value := func(name string) string { return flag.Lookup(name).Value.String() }
	before := value("rapid.checks")
	dgproperty.SetRapidDefaults(7, 0)
	g.Expect([]string{value("rapid.seed"), value("rapid.checks")}).To(Equal([]string{"7", before}))
	dgproperty.SetRapidDefaults(8, 40)
	g.Expect([]string{value("rapid.seed"), value("rapid.checks")}).To(Equal([]string{"8", "40"}))
}
