package dgrollout_test

import (
	"testing"
	"time"

	"dandeliongap.example/dandeliongap/dgrollout"
)

// TestAllWithoutNews guards against requests that are cut off at completion: a VM that goes
// back to the old replicas when the store and the leading VM are silent, after it has reported
// that it uses the stage All. The leading VM then completes the order, and the platform stops
// the old replicas at once (X4, X11).
func TestAllWithoutNews(t *testing.T) {
	v := newVM(1, replicas("v1", "v2"))
	v.local.SetOrder(0, order(2, "v2"))
	v.local.SetNews(at(time.Second))
	if !v.local.SetState(svc, dgrollout.State{Order: 2, Target: "v2", Duration: 15 * time.Second, Stage: dgrollout.All}) {
		t.Fatal("state ignored")
	}
	for now := time.Second; now < 10*time.Second; now += 10 * time.Millisecond {
		if got := v.send(at(now), false); got != "v2" {
			t.Fatalf("request to %q at %v, %v after the last news", got, now, now-time.Second)
		}
	}
	if !v.local.SetBad(svc, 2) {
		t.Fatal("verdict ignored")
	}
	if got := v.send(at(10*time.Second), false); got != "v1" {
		t.Errorf("request to %q after the verdict", got)
	}
}
