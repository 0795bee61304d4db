package dgdemo_test

import (
	"context"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgdemo"
	"dandeliongap.example/dandeliongap/dgstandin"
	. "github.com/onsi/gomega"
)

// Guards against slots that stay taken for a caller that is gone: each backend
// server of the search sees the cancellation, at any VM and through any owner.
func TestHangUpFreesSlots(t *testing.T) {
	f := shared(t)
	busy := func() (n int) {
		f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { n += b.Busy() })
		return n
	}
	slow := func(s dgstandin.ServiceTime) {
		f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { b.SetService(s) })
	}
	f.until("no request is under way", func() bool { return busy() == 0 })
	before := f.Fleet.Counters()
	slow(dgstandin.ServiceTime{Base: time.Hour})
	defer slow(dgdemo.ServiceTime)
	leaves := len(f.Deployment.Services[search].Leaves)
	for _, n := range f.Nodes() {
		ctx, hangUp := context.WithCancel(f.ctx)
		ended := make(chan answer, 1)
		go func() {
			ended <- post(ctx, n.Address(), "/v1/search", struct{ Service, Query string }{string(search), "sleepers"})
		}()
		f.until("all sub-requests run", func() bool { return busy() >= leaves })
		hangUp()
		<-ended
		f.until("all slots are free", func() bool { return busy() == 0 })
	}
	after := f.Fleet.Counters()
	f.Expect(after.Cancelled - before.Cancelled).To(BeNumerically(">=", leaves*len(f.Nodes())))
	f.Expect(after.Cancelled-before.Cancelled).To(Equal(after.Runs-before.Runs), "before %+v, after %+v", before, after)
	f.Expect(after.DeadlineGiveUps).To(Equal(before.DeadlineGiveUps), "no slot was freed by its deadline")
}
