package dgtrial_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"testing"
	"time"

	dg "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgtrial"
)

// TestMain lets the heap grow further between collections, which halves the time
// of the tests: each run allocates many short-lived objects and retains few.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// seed is the random seed of the checks of targets and of the session tests.
const seed = 1

// deployment returns a deployment with one group of the given number of leaves.
// Each leaf has the size used at present: two replicas with three slots, in different zones.
func deployment(name string, zones, leaves int) *dg.Deployment {
	d := &dg.Deployment{Name: name, HedgeExtra: 0.05, Services: map[dg.ServiceName]*dg.Service{}}
	for i := range zones {
		d.Zones = append(d.Zones, dg.ZoneName(fmt.Sprintf("zone-%c", 'a'+i)))
	}
	group := &dg.Service{Name: "search", Kind: dg.KindGroup, Partial: true, Deadline: 300 * time.Millisecond}
	d.Services[group.Name] = group
	for i := range leaves {
		leaf := &dg.Service{Name: dg.ServiceName(fmt.Sprintf("shard-%02d", i)), Partial: true, Deadline: group.Deadline}
		leaf.Leaves = []dg.ServiceName{leaf.Name}
		for k := range 2 {
			id := dg.ReplicaID(fmt.Sprintf("%s/%d", leaf.Name, k))
			leaf.Replicas = append(leaf.Replicas, dg.Replica{
				ID: id, Service: leaf.Name, Zone: d.Zones[(i+k)%zones], Slots: 3, Connections: 30, ColdLimit: 1,
			})
		}
		d.Services[leaf.Name] = leaf
		group.Leaves = append(group.Leaves, leaf.Name)
	}
	return d
}

func targets() []dgtrial.Target {
	return []dgtrial.Target{
		{Deployment: deployment("kelani", 3, 20), ZoneDelay: 1500 * time.Microsecond},
		{Deployment: deployment("stejar", 4, 20), ZoneDelay: 500 * time.Microsecond},
	}
}

// checkTargets runs one case for each deployment and fails for each missed target.
func checkTargets(t *testing.T, name string) {
	t.Parallel()
	for _, target := range targets() {
		t.Run(target.Deployment.Name, func(t *testing.T) {
			t.Parallel()
			r, err := dgtrial.Run(dgtrial.Options{Targets: []dgtrial.Target{target}, Cases: []string{name}, Seed: seed})
			if err != nil {
				t.Fatal(err)
			}
			var table bytes.Buffer
			if err := r.Print(&table); err != nil {
				t.Fatal(err)
			}
			t.Logf("\n%s", table.String())
			for _, row := range r.Rows {
				for _, m := range row.Measures {
					if !m.Held {
						t.Errorf("%s is %.4g, the target is %s", m.Name, m.Chosen, m.Bound())
					}
				}
			}
		})
	}
}

// TestSameSeed guards against figures that differ between runs with the same seed.
func TestSameSeed(t *testing.T) {
	t.Parallel()
	var out [2]bytes.Buffer
	for i := range out {
		r, err := dgtrial.Run(dgtrial.Options{Targets: targets()[:1], Cases: []string{"zone"}, Seed: 7, SkipBaseline: true})
		if err != nil || r.PrintJSON(&out[i]) != nil {
			t.Fatal(err)
		}
	}
	if out[0].String() != out[1].String() {
		t.Errorf("two runs with the same seed differ:\n%s%s", out[0].String(), out[1].String())
	}
}

// TestUnknownNames guards against a measurement that silently skips an unknown case
// or group instead of returning ErrNotFound.
func TestUnknownNames(t *testing.T) {
	for _, o := range []dgtrial.Options{
		{Targets: targets(), Cases: []string{"none"}},
		{Targets: []dgtrial.Target{{Deployment: deployment("none", 3, 1), Group: "none"}}},
	} {
		if _, err := dgtrial.Run(o); !errors.Is(err, dg.ErrNotFound) {
			t.Errorf("error is %v, want ErrNotFound", err)
		}
	}
}

// Each test checks the targets of the design for one case on both deployments.

func TestStraggler(t *testing.T)     { checkTargets(t, "straggler") }
func TestReplicaLost(t *testing.T)   { checkTargets(t, "replica-lost") }
func TestReplicaSilent(t *testing.T) { checkTargets(t, "replica-silent") }
func TestShardLost(t *testing.T)     { checkTargets(t, "shard-lost") }
func TestOverload(t *testing.T)      { checkTargets(t, "overload") }
func TestCold(t *testing.T)          { checkTargets(t, "cold") }
func TestZone(t *testing.T)          { checkTargets(t, "zone") }
