package dgdemo_test

import (
	"net/http"
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgstandin"
	"github.com/google/uuid"
	. "github.com/onsi/gomega"
)

// Guards against searches that fail while the platform is unreachable, actions that
// run although they cannot be recorded, and a tier that does not recover after the
// outage.
func TestPlatformOutage(t *testing.T) {
	f := sharedFixture(t)
	ran := f.Fleet.RunCounts().All()
	tally := f.underLoadOfSearches(func() {
		f.setPlatformFaults(dgstandin.PlatformFaults{Down: dgstandin.Refused})
		for i, n := range f.Nodes() {
			a := f.actAt(n, uuid.NewString(), "40 sleepers")
			f.Expect(a).To(HaveField("Status", http.StatusServiceUnavailable), "VM %d", i)
			f.Expect(a).To(HaveField("Outcome", "not run"))
			f.Expect(a).To(HaveField("Reason", dandeliongap.ReasonPlatform.String()), "must be refused at once, not at the deadline")
		}
		late, err := f.AddVM("late", zoneB)
		f.Expect(err).NotTo(HaveOccurred())
		f.until("a VM that starts during the outage serves", func() bool { return late.View().Serving })
		f.Expect(f.searchAt(late)).To(And(HaveField("Status", http.StatusOK), HaveField("Merged", 10), HaveField("Total", 10)))
		f.Expect(f.Fleet.RunCounts().All()).To(HaveLen(len(ran)), "no action may run during the outage")
		f.setPlatformFaults(dgstandin.PlatformFaults{})
		f.until("the late VM is a member", f.Ready)
	})
	f.expectAllAnswered(tally)
	f.expectPromisesKept(tally)
	_, base, err := f.client.GetConfig(f.ctx)
	f.Expect(err).NotTo(HaveOccurred())
	version, err := f.client.ApplyConfig(f.ctx, "# after the outage\n"+f.Text, base, uuid.NewString())
	f.Expect(err).NotTo(HaveOccurred())
	f.until("the change is in force", func() bool {
		return f.onEveryVM(func(v *dandeliongap.View) bool { return v.Config == version })
	})
}
