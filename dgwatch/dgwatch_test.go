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

func init() { dgproperty.Fix(1, 300) }

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

// roles counts the VMs of each role, and of the readers those whose calls succeed.
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
	It("W1 lets every VM of a small tier read, and six of a large one (guards against store calls that grow with the tier)", func() {
		count, _ := roles(tier(dgwatch.ReaderCount))
		Expect(count).To(Equal(map[dgwatch.Role]int{dgwatch.Reader: dgwatch.ReaderCount}))
		count, _ = roles(tier(610))
		Expect(count).To(Equal(map[dgwatch.Role]int{dgwatch.Reader: dgwatch.ReaderCount, dgwatch.Puller: 610 - dgwatch.ReaderCount}))
	})
	It("W1 replaces readers that are gone (guards against a tier that hears nothing after a loss)", func() {
		present := tier(62)
		var left []dgwatch.Peer
		for _, p := range present {
			if dgwatch.RoleOf(p.VM, present) != dgwatch.Reader {
				left = append(left, p)
			}
		}
		count, _ := roles(left)
		Expect(count[dgwatch.Reader]).To(Equal(dgwatch.ReaderCount))
	})
	It("W2 lets others read when the store refuses the readers, which go on trying (guards against a tier that is blind since the store refuses six VMs)", func() {
		present := tier(62)
		for i, p := range present {
			present[i].StoreFailing = dgwatch.RoleOf(p.VM, tier(62)) == dgwatch.Reader
		}
		count, healthy := roles(present)
		Expect(count).To(Equal(map[dgwatch.Role]int{dgwatch.Reader: 2 * dgwatch.ReaderCount, dgwatch.Puller: 62 - 2*dgwatch.ReaderCount}))
		Expect(healthy).To(Equal(dgwatch.ReaderCount))
		// A puller hears of changes by way of VMs that may not have noticed an outage:
		// what lapses now must stay in use there.
		Expect(dgwatch.StoreFailing(present)).To(BeTrue())
		for i, p := range present {
			if dgwatch.RoleOf(p.VM, tier(62)) == dgwatch.Reader {
				present[i].StoreFailing = false // one of the first is enough
				break
			}
		}
		Expect(dgwatch.StoreFailing(present)).To(BeFalse())
	})
	It("W2 lets six VMs look for a store that fails for all (guards against an outage in which all VMs call)", func() {
		present := tier(62)
		for i := range present {
			present[i].StoreFailing = true
		}
		count, _ := roles(present)
		Expect(count).To(Equal(map[dgwatch.Role]int{dgwatch.Reader: dgwatch.ReaderCount, dgwatch.Retrier: 62 - dgwatch.ReaderCount}))
		Expect(dgwatch.StoreFailing(present)).To(BeTrue())
	})
	It("lets a VM read that hears of no other", func() {
		Expect(dgwatch.RoleOf("vm", []dgwatch.Peer{{VM: "vm", StoreFailing: true}})).To(Equal(dgwatch.Reader))
	})
})

// TestMirror guards against a VM that misses a change or a removal when it pulls
// changes from another one, whatever it had before (W4).
func TestMirror(t *testing.T) {
	const kind = "k"
	rapid.Check(t, func(t *rapid.T) {
		var m dgwatch.Mirror
		truth := make(map[dandeliongap.ObjectName]dandeliongap.Object)
		version := dandeliongap.Version(0)
		type follower struct {
			since dandeliongap.Version
			state map[dandeliongap.ObjectName]dandeliongap.Object
		}
		followers := []*follower{{}, {}, {}}
		list := func() dgwatch.State {
			s := dgwatch.State{Full: true, Version: version}
			for _, o := range truth {
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
			if _, there := truth[name]; there && rapid.Bool().Draw(t, "removed") {
				o.Deleted = true
				delete(truth, name)
				return o
			}
			truth[name] = o
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
			case 3: // the history was dropped, and changes were missed
				change()
				change()
				m.Apply(kind, list())
			default:
				f := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
				s, ok := m.Since(kind, f.since)
				if !ok {
					t.Fatal("nothing was read")
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
				if !maps.EqualFunc(f.state, truth, same) || f.since != version {
					t.Fatalf("follower has %v at %d, the store %v at %d", f.state, f.since, truth, version)
				}
			}
		}
	})
}

var _ = It("W4 passes everything on to a VM that missed more removals than are kept", func() {
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

var _ = It("knows nothing of a kind that was not read (guards against passing an empty state on)", func() {
	var m dgwatch.Mirror
	_, ok := m.Since("k", 0)
	Expect(ok).To(BeFalse())
	m.Apply("k", dgwatch.State{Version: 5, Objects: []dandeliongap.Object{{Name: "k/a", Version: 5}}})
	_, ok = m.Since("k", 0)
	Expect(ok).To(BeFalse(), "changes alone are not the whole state")
})
