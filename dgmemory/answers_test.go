package dgmemory_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap/dgmemory"
)

// TestAnswers guards against answers with control state that nobody reads and that take the
// memory (M8), and against ending those that cost nothing.
func TestAnswers(t *testing.T) {
	g := NewWithT(t)
	a := dgmemory.NewAnswers(100)
	first, ended := a.Begin(1, 60)
	g.Expect(ended).To(BeEmpty())
	_, ended = a.Begin(1, 60)
	g.Expect(ended).To(BeEmpty())
	g.Expect(a.Used()).To(BeEquivalentTo(60), "equal answers count once")
	third, ended := a.Begin(2, 30)
	g.Expect(ended).To(BeEmpty())
	_, ended = a.Begin(3, 50)
	g.Expect(ended).To(HaveLen(2), "the oldest, which share a body")
	g.Expect(a.Used()).To(BeEquivalentTo(80))
	a.End(first)
	a.End(third)
	g.Expect(a.Used()).To(BeEquivalentTo(50))
	_, ended = a.Begin(4, 500)
	g.Expect(ended).To(HaveLen(1))
	g.Expect(a.Used()).To(BeEquivalentTo(500), "one alone may take any size")
	var none dgmemory.Answers
	none.Begin(1, 1<<40)
	_, ended = none.Begin(2, 1<<40)
	g.Expect(ended).To(BeEmpty(), "no limit")
}

// TestAnswersUsed guards against an account that drifts from what is delivered (M8).
func TestAnswersUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, size = 10, 3
		a := dgmemory.NewAnswers(limit)
		open := make(map[dgmemory.DeliveryID]dgmemory.BodyID)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				for id := range open {
					a.End(id)
					delete(open, id)
					break
				}
				continue
			}
			body := dgmemory.BodyID(rapid.IntRange(1, 5).Draw(t, "body"))
			id, ended := a.Begin(body, size)
			open[id] = body
			for _, e := range ended {
				delete(open, e)
			}
			bodies := make(map[dgmemory.BodyID]bool)
			for _, b := range open {
				bodies[b] = true
			}
			if want := int64(size * len(bodies)); a.Used() != want || want > limit {
				t.Fatalf("%d bytes used, %d delivered", a.Used(), want)
			}
		}
	})
}
