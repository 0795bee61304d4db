package dgtrial

import (
	"fmt"
	"io"
	"slices"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Times of a session: load from which the planners learn latencies, a pause in
// which all of its searches end, and the search that is written out.
const (
	sessionWarmUp = 3 * time.Second
	sessionSearch = sessionWarmUp + time.Second
)

// Session writes one search of the first entry VM to out: the request, each
// decision with its rule, the answers of attempts and the answer to the caller.
// Before it, the planners learn latencies from a load at spareLoad. The first
// sub-request of the search to the straggler's service is StragglerFactor times
// slower, and the lost replica refuses connections from then on. Its error is
// ErrNotFound if the group, service or replica does not exist.
func Session(out io.Writer, t Target, straggler dandeliongap.ServiceName, lost dandeliongap.ReplicaID, seed uint64) error {
	b, err := newBench(t, Options{Seed: seed})
	if err != nil {
		return err
	}
	s := newSim(t.Deployment, b.group, b.loadAt(spareLoad, sessionWarmUp), t.ZoneDelay, seed)
	if !slices.Contains(b.group.Leaves, straggler) {
		return fmt.Errorf("leaf service %q: %w", straggler, dandeliongap.ErrNotFound)
	}
	if s.replicas[lost] == nil {
		return fmt.Errorf("replica %q: %w", lost, dandeliongap.ErrNotFound)
	}
	s.schedule(dandeliongap.Instant(sessionSearch), func() {
		s.out = out
		s.nextStraggler = straggler
		s.replicas[lost].server.fail(false)
		s.vms[0].startSearch(dandeliongap.ClassOrdinary)
	})
	s.run()
	return nil
}
