package dgedge_test

import (
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgpresence"
)

// TestUnpackLimits guards against short datagrams whose content takes tens of megabytes, and
// against names and kinds that no VM has.
func TestUnpackLimits(t *testing.T) {
	g := NewWithT(t)
	_, err := dgedge.Unpack(dgedge.Pack(slices.Repeat([]dgpresence.Heartbeat{{VM: "b", Boot: 1, Count: 1}}, 4000)))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = dgedge.Unpack(dgedge.Pack(make([]dgpresence.Heartbeat, 20000)))
	g.Expect(err).To(MatchError(dgedge.ErrManyValues))
	got, err := dgedge.UnpackReceived(dgedge.Pack([]dgpresence.Heartbeat{
		{VM: dandeliongap.VMName(strings.Repeat("n", 256))}, {VM: ""}, {VM: "b\n"}, {VM: "b "},
		{VM: "b", Seen: map[string]dandeliongap.Version{dandeliongap.KindRoutes: 1, "other": 2}},
	}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal([]dgpresence.Heartbeat{{VM: "b", Seen: map[string]dandeliongap.Version{dandeliongap.KindRoutes: 1}}}))
}

// TestReportNames guards against evidence that counts as that of a VM that cannot exist.
func TestReportNames(t *testing.T) {
	g := NewWithT(t)
	g.Expect(dgedge.ReportsFrom("vm-1", "", "vm-1\n", dandeliongap.VMName(strings.Repeat("n", 256)))).To(Equal([]dandeliongap.VMName{"vm-1"}))
}

// TestGossipQueue guards against datagrams that take the memory while they wait, and against a
// long one that never gets in.
func TestGossipQueue(t *testing.T) {
	g := NewWithT(t)
	g.Expect(dgedge.Gossip(10, dgedge.MaxQueuedBytes/4)).To(Equal(4))
	g.Expect(dgedge.Gossip(2, 2*dgedge.MaxQueuedBytes)).To(Equal(1))
}
