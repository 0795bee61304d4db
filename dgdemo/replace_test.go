package dgdemo_test

import (
	"testing"

	"dandeliongap.example/dandeliongap"
	. "github.com/onsi/gomega"
)

// Guards against requests that are cut off, refused or run twice, and against
// replicas with two owners, during a rolling replacement of all VMs. Each VM is
// replaced as soon as the one before it has handed over its replicas.
func TestRollingReplacementLosesNoRequests(t *testing.T) {
	f := sharedFixture(t)
	tally := f.underLoad(func() {
		closed := make(chan error, 6)
		for i := range 6 {
			oldMember := f.Nodes()[i].Member()
			go func() { closed <- f.ReplaceVM(i) }()
			f.until("the new VM serves and the old one owns no replicas", func() bool {
				newMember := f.Nodes()[i].Member()
				return newMember != oldMember && f.allOwnersRunning() && f.onEveryVM(func(v *dandeliongap.View) bool {
					_, member := v.Members[newMember]
					return v.Serving && member
				})
			})
		}
		for range 6 {
			f.Expect(<-closed).To(Succeed())
		}
	})
	f.expectAllAnswered(tally)
	f.Expect(tally.ActionsAnswered).To(And(BeNumerically(">", 0), Equal(tally.Actions)), "%v", tally.Reasons)
	f.expectPromisesKept(tally)
	f.until("only the new VMs are members", f.Ready)
}
