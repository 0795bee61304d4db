package dgwatch_test

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgproperty"
	"dandeliongap.example/dandeliongap/dgwatch"
)

func init() { dgproperty.SetRapidDefaults(1, 300) }

func TestWatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgwatch")
}

func tier(n int) []dgwatch.Peer {
	var out []dgwatch.Peer
	for i := range n {
		out = append(out, dgwatch.Peer{VM: dandeliongap.VMName(fmt.Sprint("vm-", i))})
	}
	return out
}

// roles counts the VMs of each role, and the readers whose calls succeed.
func roles(present []dgwatch.Peer) (count map[dgwatch.Role]int, healthy int) {
	count = make(map[dgwatch.Role]int)
	for _, p := range present {
		role := dgwatch.RoleOf(p.VM, present)
		count[role]++
		if role == dgwatch.Reader && !p.StoreFailing {
			healthy++
		}
	}
	return count, healthy
}

var _ = Describe("roles", func() {
	It("W1: all VMs of a small tier read, and six of a large one (otherwise store calls would grow with the tier)", func() {
		count, _ := roles(tier(dgwatch.ReaderCount))
		Expect(count).To(Equal(map[dgwatch.Role]int{dgwatch.Reader: dgwatch.ReaderCount}))
		count, _ = roles(tier(610))
		Expect(count).To(Equal(map[dgwatch.Role]int{dgwatch.Reader: dgwatch.ReaderCount, dgwatch.Puller: 610 - dgwatch.ReaderCount}))
	})
	It("W1: readers that are gone are replaced (otherwise the tier would get no more changes)", func() {
		present := tier(62)
		var remaining []dgwatch.Peer
		for _, p := range present {
			if dgwatch.RoleOf(p.VM, present) != dgwatch.Reader {
				remaining = append(remaining, p)
			}
		}
		count, _ := roles(remaining)
		Expect(count[dgwatch.Reader]).To(Equal(dgwatch.ReaderCount))
	})
	It("W2: others read when the calls of the readers fail, which keep trying (otherwise six failing VMs would cut off the tier)", func() {
		present := tier(62)
		for i, p := range present {
			present[i].StoreFailing = dgwatch.RoleOf(p.VM, tier(62)) == dgwatch.Reader
		}
		count, healthy := roles(present)
		Expect(count).To(Equal(map[dgwatch.Role]int{dgwatch.Reader: 2 * dgwatch.ReaderCount, dgwatch.Puller: 62 - 2*dgwatch.ReaderCount}))
		Expect(healthy).To(Equal(dgwatch.ReaderCount))
		// Pullers get changes through VMs that may not have noticed an outage yet. They
		// must keep using registrations that lapse now.
		Expect(dgwatch.StoreFailing(present)).To(BeTrue())
		for i, p := range present {
			if dgwatch.RoleOf(p.VM, tier(62)) == dgwatch.Reader {
				present[i].StoreFailing = false // one working VM of the first six is enough
				break
			}
		}
		Expect(dgwatch.StoreFailing(present)).To(BeFalse())
	})
	It("W2: six VMs keep trying when the store fails for all (otherwise all VMs would call it in an outage)", func() {
		present := tier(62)
		for i := range present {
			present[i].StoreFailing = true
		}
		count, _ := roles(present)
		Expect(count).To(Equal(map[dgwatch.Role]int{dgwatch.Reader: dgwatch.ReaderCount, dgwatch.Retrier: 62 - dgwatch.ReaderCount}))
		Expect(dgwatch.StoreFailing(present)).To(BeTrue())
	})
	It("a VM that knows no other reads", func() {
		Expect(dgwatch.RoleOf("vm", []dgwatch.Peer{{VM: "vm", StoreFailing: true}})).To(Equal(dgwatch.Reader))
	})
})

// TestMirror guards against a VM that misses a change or a removal when it pulls
// from another one, at any version that it had before (W4).
func TestMirror(t *testing.T) {
	const kind = "k"
	rapid.Check(t, func(t *rapid.T) {
		var m dgwatch.Mirror
		stored := make(map[dandeliongap.ObjectName]dandeliongap.Object)
		version := dandeliongap.Version(0)
		type follower struct {
			since dandeliongap.Version
			state map[dandeliongap.ObjectName]dandeliongap.Object
		}
		followers := []*follower{{}, {}, {}}
		list := func() dgwatch.State {
			s := dgwatch.State{Full: true, Version: version}
			for _, o := range stored {
				s.Objects = append(s.Objects, o)
			}
			return s
		}
		version++
		m.Apply(kind, list())
		change := func() dandeliongap.Object {
			version++
			name := dandeliongap.ObjectName(fmt.Sprintf("%s/%d", kind, rapid.IntRange(0, 5).Draw(t, "name")))
			o := dandeliongap.Object{Name: name, Version: version}
			if _, exists := stored[name]; exists && rapid.Bool().Draw(t, "removed") {
				o.Deleted = true
				delete(stored, name)
				return o
			}
			stored[name] = o
			return o
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				s := dgwatch.State{}
				for range rapid.IntRange(1, 4).Draw(t, "changes") {
					s.Objects = append(s.Objects, change())
				}
				s.Version = version
				m.Apply(kind, s)
			case 3: // changes were missed because the store dropped its history
				change()
				change()
				m.Apply(kind, list())
			default:
				f := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
				s, ok := m.Since(kind, f.since)
				if !ok {
					t.Fatal("Since returned nothing although the kind was read")
				}
				if s.Full {
					f.state = make(map[dandeliongap.ObjectName]dandeliongap.Object)
				}
				for _, o := range s.Objects {
					if o.Deleted {
						delete(f.state, o.Name)
					} else {
						f.state[o.Name] = o
					}
				}
				f.since = s.Version
				same := func(a, b dandeliongap.Object) bool { return a.Version == b.Version }
				if !maps.EqualFunc(f.state, stored, same) || f.since != version {
					t.Fatalf("follower has %v at version %d, store has %v at version %d", f.state, f.since, stored, version)
				}
			}
		}
	})
}

var _ = It("W4: passes on the whole state to a VM that missed more removals than are kept", func() {
	var m dgwatch.Mirror
	m.Apply("k", dgwatch.State{Full: true, Version: 1})
	version := dandeliongap.Version(1)
	for i := range 5000 {
		version++
		m.Apply("k", dgwatch.State{Version: version, Objects: []dandeliongap.Object{{Name: dandeliongap.ObjectName(fmt.Sprint("k/", i)), Version: version, Deleted: true}}})
	}
	s, ok := m.Since("k", 2)
	Expect(ok).To(BeTrue())
	Expect(s.Full).To(BeTrue())
	s, _ = m.Since("k", version-3)
	Expect(s.Full).To(BeFalse())
	Expect(s.Objects).To(HaveLen(3))
})

var _ = It("returns nothing for a kind that was not read (otherwise an empty state would be passed on)", func() {
	var m dgwatch.Mirror
	_, ok := m.Since("k", 0)
	Expect(ok).To(BeFalse())
	m.Apply("k", dgwatch.State{Version: 5, Objects: []dandeliongap.Object{{Name: "k/a", Version: 5}}})
	_, ok = m.Since("k", 0)
	Expect(ok).To(BeFalse(), "changes alone are not the whole state")
})

var _ = Describe("a kind that only some VMs follow", func() {
	follows := func(first int) func(dandeliongap.VMName) bool {
		return func(vm dandeliongap.VMName) bool {
			var n int
			_, _ = fmt.Sscanf(string(vm), "vm-%d", &n)
			return n >= first
		}
	}
	It("W8 is read by those that follow it, whatever the others are (guards against a tier that changes its version and learns of no rollout)", func() {
		for first := range 10 {
			present := tier(12)
			readers := 0
			for i := first; i < 12; i++ {
				if dgwatch.RoleAmong(present[i].VM, present, follows(first)) == dgwatch.Reader {
					readers++
				}
			}
			Expect(readers).To(Equal(min(dgwatch.ReaderCount, 12-first)))
		}
	})
	It("W8 is read by a VM that stands by only if no hub follows it", func() {
		Expect(dgwatch.RoleAmong("standby", tier(12), follows(11))).To(Equal(dgwatch.Puller))
		Expect(dgwatch.RoleAmong("standby", tier(12), follows(12))).To(Equal(dgwatch.Reader))
	})
	It("W8 has the same roles as other kinds if all follow it", func() {
		present := tier(12)
		for _, p := range present {
			Expect(dgwatch.RoleAmong(p.VM, present, follows(0))).To(Equal(dgwatch.RoleOf(p.VM, present)))
		}
	})
})
