package dgrollout_test

import (
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgcatalog"
	"dandeliongap.example/dandeliongap/dgrollout"
)

const restoredAt = 5 * time.Second

// rev returns the version of a revision in an era.
func rev(era dandeliongap.Era, revision uint64) dandeliongap.Version { return era.Version(revision) }

// withState returns an order with a status of its target.
func withState(version dandeliongap.Version, state dandeliongap.RolloutState) dandeliongap.RolloutOrder {
	o := order(version, "v2")
	if state != dandeliongap.RolloutNone {
		o.Status = dandeliongap.RolloutStatus{State: state, Target: "v2"}
	}
	return o
}

func storedState(id dandeliongap.Version, stage dgrollout.Stage) dgrollout.State {
	return dgrollout.State{Order: id, Target: "v2", Duration: 15 * time.Second, Stage: stage}
}

// beforeRestore returns a VM with an order of version 20 in era 1 in a stage.
func beforeRestore(t *testing.T, stage dgrollout.Stage) *vm {
	t.Helper()
	v := newVM(1, replicas("v1", "v2"))
	v.local.SetOrder(at(time.Second), withState(rev(1, 20), dandeliongap.RolloutNone))
	v.local.SetOrder(at(time.Second), withState(rev(1, 22), dandeliongap.RolloutRunning))
	if v.count(time.Second, restoredAt, "v2"); stage != dgrollout.Canary && !v.local.SetState(svc, storedState(rev(1, 20), stage)) {
		t.Fatal("state ignored")
	}
	switch stage {
	case dgrollout.Completed:
		v.local.SetOrder(at(restoredAt), withState(rev(1, 30), dandeliongap.RolloutCompleted))
	case dgrollout.RolledBack:
		v.local.SetOrder(at(restoredAt), withState(rev(1, 30), dandeliongap.RolloutRolledBack))
	}
	return v
}

// TestRestoredOrder guards against an order that begins anew because a restored store has an
// older status of it, or because the operator writes it again: a target that was rolled back
// would get traffic, a completed rollout would go back, and an open one would lose its
// deadline, its evidence and its exposure (X15, X17).
func TestRestoredOrder(t *testing.T) {
	for _, stage := range []dgrollout.Stage{dgrollout.Canary, dgrollout.Half, dgrollout.All, dgrollout.Completed, dgrollout.RolledBack} {
		for _, inCopy := range []dandeliongap.RolloutState{dandeliongap.RolloutNone, dandeliongap.RolloutRunning, dandeliongap.RolloutCompleted, dandeliongap.RolloutRolledBack} {
			v := beforeRestore(t, stage)
			before := v.local.View(svc)
			now := at(restoredAt)
			v.local.BeginEra(now)
			if v.local.SetOrder(now, withState(rev(2, 21), inCopy)) {
				t.Errorf("%v, copy has %d: the order of the copy begins", stage, inCopy)
			}
			if v.local.Adopt(now, svc, storedState(rev(2, 21), dgrollout.Canary), rev(2, 23)) || v.local.SetState(svc, storedState(rev(1, 20), dgrollout.Canary)) {
				t.Errorf("%v, copy has %d: a state of the copy goes back", stage, inCopy)
			}
			now = at(restoredAt + dgcatalog.ReregistrationGrace - time.Millisecond)
			if v.local.SetOrder(now, withState(rev(2, 30), dandeliongap.RolloutNone)) {
				t.Errorf("%v, copy had %d: the order that was written again begins", stage, inCopy)
			}
			// The status has to be written again, therefore the order is open.
			after := v.local.View(svc)
			if !after.Open || after.ID != rev(1, 20) || after.Stage != stage || after.Since != before.Since || after.Sent != before.Sent || after.SentNew != before.SentNew {
				t.Errorf("%v, copy had %d: %+v after the restore, was %+v", stage, inCopy, after, before)
			}
			n, all := v.count(restoredAt+dgcatalog.ReregistrationGrace, restoredAt+2*dgcatalog.ReregistrationGrace, "v2")
			switch {
			case stage == dgrollout.RolledBack && n > 0, stage == dgrollout.Completed && n < all:
				t.Errorf("%v, copy had %d: %d of %d requests to the target", stage, inCopy, n, all)
			}
			if !stage.Final() {
				continue
			}
			state := dandeliongap.RolloutCompleted
			if stage == dgrollout.RolledBack {
				state = dandeliongap.RolloutRolledBack
			}
			v.local.SetOrder(at(12*time.Second), withState(rev(2, 40), state))
			if after := v.local.View(svc); after.Open || after.Stage != stage {
				t.Errorf("%v, copy had %d: %+v after the status was written again", stage, inCopy, after)
			}
			if !v.local.SetOrder(at(13*time.Second), withState(rev(2, 50), dandeliongap.RolloutNone)) || v.local.View(svc).ID != rev(2, 50) {
				t.Errorf("%v: an order after the grace period does not begin", stage)
			}
		}
	}
}

// TestStatusBeforeState guards against an order that stays open because its status was read
// before the state that ended it, in the grace period.
func TestStatusBeforeState(t *testing.T) {
	v := beforeRestore(t, dgrollout.Half)
	v.local.BeginEra(at(restoredAt))
	v.local.SetOrder(at(restoredAt), withState(rev(2, 21), dandeliongap.RolloutRunning))
	v.local.SetOrder(at(restoredAt+time.Second), withState(rev(2, 41), dandeliongap.RolloutRolledBack))
	v.local.SetState(svc, storedState(rev(1, 20), dgrollout.RolledBack))
	if got := v.local.View(svc); got.Open || got.Stage != dgrollout.RolledBack {
		t.Errorf("%+v", got)
	}
}

// TestMissingOrder guards against an order that counts as withdrawn, or is replaced by the one
// before it, because a restored store has an older copy, and against one that is kept although
// the operator withdrew or replaced it (X16).
func TestMissingOrder(t *testing.T) {
	v := beforeRestore(t, dgrollout.Half)
	if v.local.Holds(at(restoredAt), svc, nil) {
		t.Error("a missing order is kept without a new era")
	}
	v.local.BeginEra(at(restoredAt))
	older, same := order(rev(2, 10), "v3"), withState(rev(2, 22), dandeliongap.RolloutRunning)
	last := at(restoredAt + dgcatalog.ReregistrationGrace - 1)
	if !v.local.Holds(last, svc, nil) || !v.local.Holds(last, svc, &older) || v.local.Holds(last, svc, &same) {
		t.Error("an order is not kept for the grace period")
	}
	if v.local.Holds(last+1, svc, nil) || v.local.Holds(last+1, svc, &older) {
		t.Error("an order is kept for longer than the grace period")
	}
	if v.local.Holds(at(restoredAt), "other", &older) {
		t.Error("an order for a service without one is not followed")
	}
	v.local.SetOrder(at(restoredAt+time.Second), order(rev(2, 30), "v3"))
	if got := v.local.View(svc); got.Order.Target != "v3" || got.Stage != dgrollout.Canary {
		t.Errorf("a new order in the grace period: %+v", got)
	}
	v.local.Withdraw(svc, rev(2, 31))
	if v.local.View(svc).Open {
		t.Error("an order that was withdrawn in the grace period is open")
	}
	if !v.local.Holds(last, svc, &same) {
		t.Error("the copy brings a withdrawn order back")
	}
}

// TestRecall guards against a VM that starts while the store has a copy, leads, and gives a
// target that was rolled back another canary, or takes the stage of an open order back (X18).
func TestRecall(t *testing.T) {
	start := func() *vm {
		v := newVM(1, replicas("v1", "v2"))
		v.local.BeginEra(at(restoredAt))
		v.local.SetOrder(at(restoredAt+time.Second), withState(rev(2, 25), dandeliongap.RolloutNone))
		return v
	}
	end := restoredAt + dgcatalog.ReregistrationGrace
	v := start()
	if n, _ := v.count(restoredAt+time.Second, end, "v2"); n > 0 || !v.local.Undecided(at(end)-1, svc) {
		t.Errorf("%d canary requests in the grace period", n)
	}
	if n, _ := v.count(end, end+3*time.Second, "v2"); n == 0 || v.local.Undecided(at(end), svc) {
		t.Error("a new order does not go on after the grace period")
	}
	for _, stage := range []dgrollout.Stage{dgrollout.Half, dgrollout.Completed, dgrollout.RolledBack} {
		v = start()
		if !v.local.Recall(at(end)-1, svc, storedState(rev(1, 20), stage)) || v.local.Undecided(at(end)-1, svc) {
			t.Errorf("%v: not recalled", stage)
		}
		if got := v.local.View(svc); got.ID != rev(1, 20) || got.Stage != stage || !got.Open {
			t.Errorf("%v: %+v", stage, got)
		}
		if v.local.Recall(at(end)-1, svc, storedState(rev(1, 20), dgrollout.Canary)) {
			t.Errorf("%v: goes back", stage)
		}
		if n, all := v.count(end, end+3*time.Second, "v2"); stage == dgrollout.RolledBack && n > 0 || stage == dgrollout.Completed && n < all {
			t.Errorf("%v: %d of %d requests to the target", stage, n, all)
		}
		// The same from the state that the copy has.
		v = start()
		if !v.local.Adopt(at(end)-1, svc, storedState(rev(1, 20), stage), rev(2, 24)) || !v.local.SetState(svc, storedState(rev(1, 20), stage)) {
			t.Errorf("%v: the state in the copy is ignored", stage)
		}
	}
	v = start()
	other := storedState(rev(1, 20), dgrollout.RolledBack)
	other.Target = "v3"
	if v.local.Recall(at(end)-1, svc, other) {
		t.Error("another order is recalled")
	}
	// An order that this VM saw after the grace period is new, whatever others still report.
	v.local.SetOrder(at(end)+1, withState(rev(2, 60), dandeliongap.RolloutNone))
	if v.local.Recall(at(end)+2, svc, storedState(rev(1, 20), dgrollout.RolledBack)) {
		t.Error("an order of an earlier era replaces a new one")
	}
	// An order that was read in the grace period of an earlier era is as good as any other.
	v = start()
	v.count(restoredAt+time.Second, end+time.Second, "v2")
	v.local.BeginEra(at(end + time.Second))
	v.local.SetOrder(at(end+time.Second), withState(rev(3, 25), dandeliongap.RolloutNone))
	if n, _ := v.count(end+time.Second, end+2*time.Second, "v2"); n == 0 || v.local.Undecided(at(end+time.Second), svc) {
		t.Error("an order that was decided before the restore waits")
	}
	// A VM that leads and has not heard of the last stage before the restore.
	v = beforeRestore(t, dgrollout.Quarter)
	v.local.BeginEra(at(restoredAt))
	v.local.SetOrder(at(restoredAt), withState(rev(2, 21), dandeliongap.RolloutRunning))
	if !v.local.Recall(at(restoredAt), svc, storedState(rev(1, 20), dgrollout.RolledBack)) || v.local.View(svc).Stage != dgrollout.RolledBack {
		t.Error("a later stage is ignored")
	}
}

// TestRestoredAfterStart guards against a VM that panics, and hangs with its lock held, when it
// started after an order had ended and a restored store then has the order without its end: it
// has kept no evidence of that order (soak seed 1796608347363882851).
func TestRestoredAfterStart(t *testing.T) {
	for _, end := range []dandeliongap.RolloutState{dandeliongap.RolloutCompleted, dandeliongap.RolloutRolledBack} {
		v := newVM(1, replicas("v1", "v2"))
		if v.local.SetOrder(at(time.Second), withState(rev(1, 30), end)) {
			t.Fatal("an order that has ended begins")
		}
		stage := v.local.View(svc).Stage
		now := at(restoredAt)
		v.local.BeginEra(now)
		if v.local.SetOrder(now, withState(rev(2, 21), dandeliongap.RolloutNone)) {
			t.Errorf("%v: the order of the copy begins", stage)
		}
		v.count(restoredAt, restoredAt+time.Second, "v2")
		if bad := v.local.Judge(now + at(time.Second)); len(bad) > 0 {
			t.Errorf("%v: found bad without evidence", stage)
		}
		if got := v.local.View(svc); !got.Open || got.Stage != stage {
			t.Errorf("%v: open %t, stage %v; want the end to be written again", stage, got.Open, got.Stage)
		}
	}
}
