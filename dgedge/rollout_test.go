package dgedge_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgpresence"
	"dandeliongap.example/dandeliongap/dgrollout"
)

// TestExtendedForm guards against a message whose versions of rollouts are lost or taken for
// something else, and against one in the form of VMs of the version before that changes.
func TestExtendedForm(t *testing.T) {
	m := dgpresence.Message{Kind: dgpresence.Beat, Process: dgpresence.ProcessID{1, 2, 3}, Count: 7,
		Seen: map[string]dandeliongap.Version{dandeliongap.KindRoutes: 5, dandeliongap.KindRollouts: 300, dandeliongap.KindRolloutStates: 1 << 40},
		Hubs: []dgpresence.Brief{{Process: dgpresence.ProcessID{9, 8, 7}, Count: 255}}}
	for _, kind := range []dgpresence.MessageKind{dgpresence.Beat, dgpresence.Answer} {
		m.Kind = kind
		b := dgedge.EncodeExtended(m)
		got, err := dgedge.DecodeShort(b)
		if err != nil || !reflect.DeepEqual(*got, m) || !dgedge.IsExtended(b) {
			t.Errorf("decoded %+v, %v; want %+v", got, err, m)
		}
		for n := 1; n < len(b); n++ {
			if cut, err := dgedge.DecodeShort(b[:n]); err == nil && len(cut.Hubs) == len(m.Hubs) {
				t.Errorf("%d of %d bytes taken for the whole message", n, len(b))
			}
		}
	}
	got, err := dgedge.DecodeShort(dgedge.EncodeShort(m))
	if err != nil || got.Seen[dandeliongap.KindRollouts] != 0 || got.Seen[dandeliongap.KindRoutes] != 5 || dgedge.IsExtended(dgedge.EncodeShort(m)) {
		t.Errorf("short form has %+v, %v", got, err)
	}
	for kind := dgpresence.Beat; kind.Valid(); kind++ {
		if got, err := dgedge.DecodeShort(dgedge.EncodeExtended(dgpresence.Message{Kind: kind})); err != nil || got.Kind != kind {
			t.Errorf("kind %d: %+v, %v", kind, got, err)
		}
	}
}

// TestReports guards against counts that the leading VM never gets because a datagram was
// lost, reports without new counts, and a leading VM that receives more than 5 KB/s of them.
func TestReports(t *testing.T) {
	const vms, seconds, rate = 12, 20, 45
	rng := rand.New(rand.NewPCG(1, 1))
	bytes := 0
	for i := range vms {
		vm := dandeliongap.VMName(fmt.Sprint("frontend-lk-west-a-", i))
		var r dgedge.Reporter
		var rows []dgrollout.Row
		for n := range 36 { // three routes, six replicas, two stages
			rows = append(rows, dgrollout.Row{Key: dgrollout.Key{Route: dandeliongap.RouteName(fmt.Sprint("r-tz5vw8", n%3)), Replica: dandeliongap.InstanceID(fmt.Sprint("i-e93f5c39", n/3%6)), Zone: "lk-west-a", Stage: dgrollout.Stage(n / 18)}})
		}
		received := make(map[dgrollout.Key]dgrollout.Counts)
		send := func(lost bool) (sent int) {
			out, err := r.RoundTrip(r.Next(rows))
			if err != nil {
				t.Fatal(err)
			}
			if len(out) > 0 {
				bytes += r.Size(vm, out)
			}
			for _, row := range out {
				if !lost {
					received[row.Key] = row.Counts
				}
			}
			return len(out)
		}
		for now := time.Duration(0); now < seconds*time.Second; now += dgrollout.TickInterval {
			for range int(rate*dgrollout.TickInterval.Seconds()/vms + rng.Float64()) {
				n := rng.IntN(len(rows))
				rows[n].Responses++
				rows[n].Timed++
			}
			send(rng.IntN(4) == 0)
		}
		for range 2 * dgedge.FullReports {
			rows[0].Responses++
			send(false)
		}
		for _, row := range rows {
			if received[row.Key] != row.Counts {
				t.Errorf("%s: the leading VM has %+v of %+v, want %+v", vm, received[row.Key], row.Key, row.Counts)
			}
		}
		for range dgedge.FullReports {
			send(false)
		}
		if n := send(false); n > 0 {
			t.Errorf("%s: %d rows sent without new counts", vm, n)
		}
	}
	perSecond := float64(bytes) / (seconds + 2*dgedge.FullReports*dgrollout.TickInterval.Seconds())
	t.Logf("%.0f bytes a second from %d VMs", perSecond, vms)
	if perSecond > 5000 {
		t.Errorf("%.0f bytes a second, want at most 5000", perSecond)
	}
}

// TestRolloutSettings guards against rollouts that are on although the platform states no
// limits, and against limits that are ignored.
func TestRolloutSettings(t *testing.T) {
	for text, want := range map[string]dgedge.Settings{
		"": {},
		"canary share =\ncanary slack =\nrollback limit ms =\n":             {},
		"canary share = 0.1\ncanary slack = 50\nrollback limit ms = 5000\n": {RolloutShare: 0.1, RolloutSlack: 50, RollbackLimit: 5 * time.Second},
	} {
		s, err := dgedge.ParseSettings([]byte(settings + text))
		if err != nil || s.RolloutShare != want.RolloutShare || s.RolloutSlack != want.RolloutSlack || s.RollbackLimit != want.RollbackLimit {
			t.Errorf("%q: %+v, %v", text, s, err)
		}
	}
	if _, err := dgedge.ParseSettings([]byte(settings + "canary share = 2\n")); err == nil || !strings.Contains(err.Error(), "canary share") {
		t.Errorf("share 2: %v", err)
	}
}
