package dgtrial

import (
	"fmt"
	"io"
	"slices"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Times of a session. The searches from which the planners learn latencies arrive
// until sessionWarmUp. The pause until sessionSearchAt, when the traced search
// starts, lets all of them end.
const (
	sessionWarmUp   = 3 * time.Second
	sessionSearchAt = sessionWarmUp + time.Second
)

// Session simulates one search of the first entry VM and writes its trace to out:
// the request, each decision with its rule, the answers of attempts and the answer
// to the caller. The planners first learn latencies from a load at spareLoad. The
// first sub-request of the search to the service named straggler is
// StragglerFactor times slower. Connections to the replica named lost fail from
// the start of the search on. The error wraps ErrNotFound if the group, service or
// replica does not exist.
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
	s.schedule(dandeliongap.Instant(sessionSearchAt), func() {
		s.out = out
		s.nextStraggler = straggler
		s.replicas[lost].server.fail(false)
		s.vms[0].startSearch(dandeliongap.ClassOrdinary)
	})
	s.run()
	return nil
}
