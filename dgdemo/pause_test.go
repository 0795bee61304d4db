package dgdemo_test

import (
	"bytes"
	"sync"
	"testing"

	"dandeliongap.example/dandeliongap"
	. "github.com/onsi/gomega"
)

// pausableLog discards log lines and counts those that contain a given text. While a
// VM is paused, Write blocks on its lines. Goroutines of the VM that log then stop,
// and so do those that wait for locks held by them, as if the VM's process got no
// processor time.
type pausableLog struct {
	mu     sync.Mutex
	paused []byte
	resume chan struct{}
	wanted []byte
	found  int
}

// Write implements io.Writer. The resume channel is read under the lock, since a
// later pause replaces it.
func (l *pausableLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	wait := l.paused != nil && bytes.Contains(line, l.paused)
	resume := l.resume
	if l.wanted != nil && bytes.Contains(line, l.wanted) {
		l.found++
	}
	l.mu.Unlock()
	if wait {
		<-resume
	}
	return len(line), nil
}

// count starts to count the lines that contain text. The returned function returns
// their number so far.
func (l *pausableLog) count(text string) (found func() int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted, l.found = []byte(text), 0
	return func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.found
	}
}

// pause blocks the log lines of a VM, and so the VM, until the returned function is
// called.
func (l *pausableLog) pause(name dandeliongap.VMName) (resume func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = []byte(`"VM":"` + string(name) + `"`)
	l.resume = make(chan struct{})
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.paused = nil
		close(l.resume)
	})
}

// Guards against a VM that continues after a long pause as if nothing had happened,
// although its lease expired and its replicas have other owners. Requests that it
// still had to send must neither exceed the slots of a backend server nor run twice,
// and the VM must notice that it is fenced.
func TestPausedVMIsFenced(t *testing.T) {
	f := sharedFixture(t)
	node := f.Nodes()[0]
	tally := f.underLoad(func() {
		resume := shared.log.pause(node.View().Members[node.Member()].VM)
		defer resume()
		f.until("the other VMs have taken over its replicas", func() bool {
			for _, n := range f.Nodes() {
				if n != node && listsMember(n.View(), node.Member()) {
					return false
				}
			}
			return true
		})
		resume()
		f.until("the VM knows that it was fenced", func() bool {
			select {
			case <-node.Fenced():
				return true
			default:
				return false
			}
		})
		f.Expect(f.KillVM(f.indexOf(node.Member()))).To(Succeed())
		f.restoreVMs()
	})
	f.Expect(tally.Answered).To(BeNumerically(">", 0))
	f.expectPromisesKept(tally)
}

// listsMember reports whether a VM is a member or the owner of a replica in a view.
func listsMember(v *dandeliongap.View, id dandeliongap.MemberID) bool {
	for _, p := range v.Placement {
		if p.Owner == id {
			return true
		}
	}
	_, member := v.Members[id]
	return member
}
