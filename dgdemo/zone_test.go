package dgdemo_test

import (
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgstandin"
)

// zoneOutLoadTime is how long the load continues while the zone is out. It exceeds the
// grace period of the stand-ins by 1 s, so that they count requests that arrive too
// late.
const zoneOutLoadTime = dgstandin.DefaultGrace + time.Second

// received returns how many requests the backend servers of a zone received.
func (f *fixture) received(zone dandeliongap.ZoneName) int64 {
	var n int64
	for _, b := range f.Fleet.InZone(zone) {
		n += b.Counters().Received
	}
	return n
}

// setZone takes zoneB out or returns it and tells the stand-ins. It repeats the
// operator's request until it succeeds.
func (f *fixture) setZone(out bool) {
	markStandins := func() {
		for _, b := range f.Fleet.InZone(zoneB) {
			b.SetZoneOut(out)
		}
	}
	if !out {
		markStandins() // before the tier is allowed to send again
	}
	f.until("the change of the zone is accepted", func() bool { return f.client.SetZoneOut(f.ctx, zoneB, out) == nil })
	if out {
		markStandins()
	}
	f.until("the zone's state is in force", func() bool {
		return f.onEveryVM(func(v *dandeliongap.View) bool { return v.ZonesOut[zoneB] == out })
	})
}

// Guards against new requests to a zone that operators took out, and against searches
// that are lost when a zone is taken out or returned. The zone is taken out while
// the platform fails calls and loses answers.
func TestZoneOutAndBack(t *testing.T) {
	f := sharedFixture(t)
	tally := f.underLoad(func() {
		f.setPlatformFaults(dgstandin.PlatformFaults{FailShare: 0.2, LoseShare: 0.2})
		f.setZone(true)
		f.setPlatformFaults(dgstandin.PlatformFaults{})
		time.Sleep(zoneOutLoadTime)
		before := f.received(zoneB)
		f.setZone(false)
		f.until("the zone receives work again", func() bool { return f.received(zoneB) > before })
	})
	f.expectAllAnswered(tally)
	f.expectPromisesKept(tally)
}

// Guards against a zone that operators cannot take out, or that still receives new
// requests, while the platform answers no reads and no watches.
func TestZoneOutWhileReadsFail(t *testing.T) {
	f := sharedFixture(t)
	tally := f.underLoad(func() {
		f.setPlatformFaults(dgstandin.PlatformFaults{ReadsDown: true})
		f.setZone(true)
		time.Sleep(zoneOutLoadTime)
		f.setZone(false)
		f.setPlatformFaults(dgstandin.PlatformFaults{})
	})
	f.expectAllAnswered(tally)
	f.expectPromisesKept(tally)
}
