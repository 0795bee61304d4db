package dgdemo_test

import (
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
	. "github.com/onsi/gomega"
)

// Guards against a gate that refuses all requests to an idle replica after timeouts.
// If the estimated time of a request exceeds the remaining validity of the rights, only
// a request that is sent can show that the backend server is fast again. The fault was
// seen in a cluster whose backend servers were slow before the first answer.
func TestIdleGateServesAfterTimeouts(t *testing.T) {
	g := NewWithT(t)
	const rights, deadline = dandeliongap.Instant(6 * time.Second), 20 * time.Second
	var gate dggate.Gate
	gate.Configure(dandeliongap.Replica{ID: "a/1", Slots: 3, Connections: 30, ColdLimit: 1})
	gate.SetRightsEnd(rights)
	gate.Grant(0, 1, dggate.Handover{}, nil)
	first := dandeliongap.SubID{Query: 1}
	g.Expect(gate.Submit(0, dggate.Request{ID: first, Deadline: dandeliongap.Instant(deadline)}, nil)).To(
		ContainElement(HaveField("Kind", dggate.Dispatch)))
	now := rights
	gate.SetRightsEnd(now + rights)
	gate.Done(now, first, dggate.Result{Status: dandeliongap.SubUnknown, Reason: dandeliongap.ReasonDeadline, Latency: time.Duration(now)}, nil)
	for i := range uint64(10) {
		now = now.Add(time.Second)
		gate.SetRightsEnd(now + rights - 1)
		actions := gate.Submit(now, dggate.Request{ID: dandeliongap.SubID{Query: 2 + i}, Deadline: now.Add(deadline)}, nil)
		for _, a := range actions {
			if a.Kind == dggate.Dispatch {
				return
			}
			t.Logf("%s: %s, rule %s", time.Duration(now), a.Reason, a.Rule)
		}
	}
	t.Error("no request was sent in 10 s although the replica is idle and the rights are valid")
}
