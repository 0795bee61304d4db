package dgnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgplatform"
	"dandeliongap.example/dandeliongap/dgrelay"
	"dandeliongap.example/dandeliongap/dgsettings"
)

// Rules for changes by operators, cited in log lines:
//
//	D1. A change is checked in full before anything is written.
//	D2. A change of the configuration text is one write that is conditional on
//	    the version named by the operator. Any other version is a conflict;
//	    nothing is merged.
//	D3. After a write without an answer the object is read back. The write was
//	    accepted if the object holds the id of this change, as the last change or
//	    among the recent ones.
//	D4. Zone changes are merged: after a conflict the change is repeated on the
//	    newer version.
const (
	// changeTimeout bounds one change including its repeated attempts.
	changeTimeout = 5 * time.Second
	// maxReportedFaults is the number of faults of a configuration that an error
	// lists.
	maxReportedFaults = 50
	// maxRecentChanges is the number of earlier change ids that the
	// configuration object keeps.
	maxRecentChanges = 32
)

// deploymentText returns the configuration text that this VM holds and its
// version, or version 0 if there is none.
func (c *control) deploymentText() (string, dandeliongap.Version) {
	var text string
	var version dandeliongap.Version
	c.postAndWait(func(dandeliongap.Instant) {
		obj, ok := c.objects.Get(dgrelay.Deployment)
		if !ok || obj.Deleted {
			return
		}
		var d deploymentObject
		if json.Unmarshal(obj.Body, &d) == nil {
			text, version = d.Text, obj.Version
		}
	})
	return text, version
}

// heldObject returns this VM's copy of a relayed object.
func (c *control) heldObject(name dandeliongap.ObjectName) (obj dandeliongap.Object) {
	c.postAndWait(func(dandeliongap.Instant) { obj, _ = c.objects.Get(name) })
	return obj
}

// apply writes a new configuration text, based on version given, and adopts it. It
// returns the version of the text, or on a conflict the version found in its place.
// Its errors are ErrInvalid with the faults (at most maxReportedFaults), ErrConflict,
// ErrTooLarge, ErrNotRun, and ErrUnreachable if the outcome is not known.
func (c *control) apply(ctx context.Context, text string, given dandeliongap.Version, id string) (dandeliongap.Version, error) {
	_, faults := dgsettings.ParseDeployment("configuration", []byte(text))
	if faults.Any() {
		return 0, fmt.Errorf("%w:\n%s", dandeliongap.ErrInvalid, faults.Head(maxReportedFaults))
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var backoff dgplatform.Backoff
	rng := newRand()
	for {
		base, err := c.deploymentBase(ctx, given)
		if err == nil {
			version, done, perr := c.tryApply(ctx, base, text, given, id)
			if done {
				c.log.Info("configuration", "Rule", "D2", "Choice", "apply", "Given", given, "Version", version, "Error", perr)
				return version, perr
			}
			err = perr
		}
		if !sleep(ctx, backoff.Next(rng)) {
			return 0, err
		}
	}
}

// deploymentBase returns the deployment object that a change is based on. If this
// VM does not hold version given, the object is read from the platform and can have
// another version.
func (c *control) deploymentBase(ctx context.Context, given dandeliongap.Version) (dandeliongap.Object, error) {
	if obj := c.heldObject(dgrelay.Deployment); obj.Version == given && given != 0 {
		return obj, nil
	}
	obj, err := c.store.Get(ctx, dgrelay.Deployment)
	c.recordPlatformCall(err)
	if errors.Is(err, dandeliongap.ErrNotFound) {
		return dandeliongap.Object{Name: dgrelay.Deployment}, nil
	}
	return obj, err
}

// tryApply makes one attempt to write the text. done is false if the outcome is not
// known and the attempt must be repeated.
func (c *control) tryApply(ctx context.Context, base dandeliongap.Object, text string, given dandeliongap.Version, id string) (version dandeliongap.Version, done bool, err error) {
	var d deploymentObject
	if base.Version != 0 {
		if err := json.Unmarshal(base.Body, &d); err != nil {
			return 0, true, fmt.Errorf("configuration: %w: %w", dandeliongap.ErrInvalid, err)
		}
	}
	if d.ChangeID == id {
		c.adoptOwn(base)
		return base.Version, true, nil
	}
	if slices.Contains(d.Recent, id) {
		return base.Version, true, nil
	}
	if base.Version != given {
		return base.Version, true, fmt.Errorf("the configuration is at version %d, the change is based on version %d: %w",
			base.Version, given, dandeliongap.ErrConflict)
	}
	next := deploymentObject{ChangeID: id, Text: text, Recent: d.Recent}
	if d.ChangeID != "" {
		next.Recent = append(slices.Clone(d.Recent), d.ChangeID)
		next.Recent = next.Recent[max(0, len(next.Recent)-maxRecentChanges):]
	}
	body, err := json.Marshal(next)
	if err != nil {
		return 0, true, err
	}
	if len(body) > maxObjectBytes {
		return 0, true, fmt.Errorf("the configuration takes %d bytes, the platform holds %d: %w", len(body), maxObjectBytes, dandeliongap.ErrTooLarge)
	}
	version, err = c.store.Put(ctx, dgrelay.Deployment, body, given)
	c.recordPlatformCall(err)
	switch {
	case err == nil:
		c.adoptOwn(dandeliongap.Object{Name: dgrelay.Deployment, Version: version, Body: body})
		return version, true, nil
	case errors.Is(err, dandeliongap.ErrTooLarge), errors.Is(err, dandeliongap.ErrNotRun):
		return 0, true, err
	default:
		return 0, false, err
	}
}

// adoptOwn adopts an object that this VM has just written or read.
func (c *control) adoptOwn(obj dandeliongap.Object) {
	c.postAndWait(func(now dandeliongap.Instant) { c.adopt(now, obj) })
}

// setZoneOut takes an availability zone out of service or returns it to service. The
// zone is in the requested state afterwards, and concurrent changes to other zones
// are kept.
func (c *control) setZoneOut(ctx context.Context, name dandeliongap.ZoneName, out bool) (dandeliongap.Version, error) {
	if v := c.view.Load(); v.Deployment == nil || !slices.Contains(v.Deployment.Zones, name) {
		return 0, fmt.Errorf("zone %q is not in the configuration: %w", name, dandeliongap.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var backoff dgplatform.Backoff
	rng := newRand()
	for {
		version, err := c.trySetZoneOut(ctx, name, out)
		if err == nil {
			c.log.Info("zone", "Rule", "D4", "Zone", name, "Out", out, "Version", version)
			return version, nil
		}
		if !sleep(ctx, backoff.Next(rng)) {
			return 0, err
		}
	}
}

// zonesBase returns the zones object to change, and whether it was read from the
// platform. If the platform does not answer the read, the change is based on this
// VM's copy; the conditional write fails if that copy is out of date.
func (c *control) zonesBase(ctx context.Context) (obj dandeliongap.Object, read bool, err error) {
	obj, err = c.store.Get(ctx, dgrelay.Zones)
	c.recordPlatformCall(err)
	switch {
	case err == nil:
		return obj, true, nil
	case errors.Is(err, dandeliongap.ErrNotFound):
		return dandeliongap.Object{Name: dgrelay.Zones}, true, nil
	case !errors.Is(err, dandeliongap.ErrUnreachable):
		return obj, false, err
	}
	obj = c.heldObject(dgrelay.Zones)
	if obj.Deleted {
		obj = dandeliongap.Object{Name: dgrelay.Zones}
	}
	return obj, false, nil
}

func (c *control) trySetZoneOut(ctx context.Context, name dandeliongap.ZoneName, out bool) (dandeliongap.Version, error) {
	obj, read, err := c.zonesBase(ctx)
	if err != nil {
		return 0, err
	}
	var zones dgrelay.ZonesOut
	if obj.Version != 0 {
		if zones, err = dgrelay.DecodeZones(obj.Body); err != nil {
			return 0, err
		}
	}
	if read && slices.Contains(zones.Out, name) == out && obj.Version != 0 {
		c.adoptOwn(obj)
		return obj.Version, nil
	}
	zones.Out = slices.DeleteFunc(zones.Out, func(z dandeliongap.ZoneName) bool { return z == name })
	if out {
		zones.Out = append(zones.Out, name)
		slices.Sort(zones.Out)
	}
	zones.WriteID = strconv.FormatUint(rand.Uint64(), 16)
	body, err := dgrelay.EncodeZones(zones)
	if err != nil {
		return 0, err
	}
	version, err := c.store.Put(ctx, dgrelay.Zones, body, obj.Version)
	c.recordPlatformCall(err)
	if err != nil {
		return 0, err
	}
	c.adoptOwn(dandeliongap.Object{Name: dgrelay.Zones, Version: version, Body: body})
	return version, nil
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// writeID returns a random id that marks one write of a state object.
func (c *control) writeID() string { return strconv.FormatUint(c.rng.Uint64(), 16) }
