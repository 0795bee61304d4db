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

// Rules of operators' changes, cited in log lines:
//
//	D1. A change is checked in full before anything is written.
//	D2. A change of the text is one conditional write on the version that the
//	    operator names. Another version is a conflict; nothing is merged.
//	D3. A write without an answer is read back. The change id, or its place among
//	    the recent change ids, proves that it was accepted.
//	D4. Zone changes are merged: a conflict is repeated on the newer version.
const (
	// changeLimit bounds the attempts of one change.
	changeLimit = 5 * time.Second
	// maxFaults is the number of faults that an answer names.
	maxFaults = 50
	// maxRecent is the number of change ids that an object remembers.
	maxRecent = 32
)

// config returns the configuration text in force and its version, 0 if there is
// none.
func (c *control) config() (string, dandeliongap.Version) {
	var text string
	var version dandeliongap.Version
	c.ask(func(dandeliongap.Instant) {
		obj, ok := c.set.Get(dgrelay.Deployment)
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

// held returns the relayed object that this VM holds.
func (c *control) held(name dandeliongap.ObjectName) (obj dandeliongap.Object) {
	c.ask(func(dandeliongap.Instant) { obj, _ = c.set.Get(name) })
	return obj
}

// apply puts a new configuration text in force. It returns the version of the
// text, or on a conflict the version that came first. Errors: ErrInvalid with
// all faults, ErrConflict, ErrTooLarge, ErrNotRun, and ErrUnreachable if the
// outcome is not known.
func (c *control) apply(ctx context.Context, text string, given dandeliongap.Version, id string) (dandeliongap.Version, error) {
	_, faults := dgsettings.ParseDeployment("configuration", []byte(text))
	if faults.Any() {
		return 0, fmt.Errorf("%w:\n%s", dandeliongap.ErrInvalid, faults.Head(maxFaults))
	}
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	var backoff dgplatform.Backoff
	rng := newRand()
	for {
		base, err := c.base(ctx, given)
		if err == nil {
			version, done, perr := c.tryApply(ctx, base, text, given, id)
			if done {
				c.log.Info("configuration", "Rule", "D2", "Choice", "apply", "Given", given, "Version", version, "Error", perr)
				return version, perr
			}
			err = perr
		}
		if !pause(ctx, backoff.Next(rng)) {
			return 0, err
		}
	}
}

// base returns the object that the change is based on, or the one that is there
// instead.
func (c *control) base(ctx context.Context, given dandeliongap.Version) (dandeliongap.Object, error) {
	if obj := c.held(dgrelay.Deployment); obj.Version == given && given != 0 {
		return obj, nil
	}
	obj, err := c.store.Get(ctx, dgrelay.Deployment)
	c.platform(err)
	if errors.Is(err, dandeliongap.ErrNotFound) {
		return dandeliongap.Object{Name: dgrelay.Deployment}, nil
	}
	return obj, err
}

// tryApply makes one attempt. done is false if the outcome is not known yet.
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
		next.Recent = next.Recent[max(0, len(next.Recent)-maxRecent):]
	}
	body, err := json.Marshal(next)
	if err != nil {
		return 0, true, err
	}
	if len(body) > maxObject {
		return 0, true, fmt.Errorf("the configuration takes %d bytes, the platform holds %d: %w", len(body), maxObject, dandeliongap.ErrTooLarge)
	}
	version, err = c.store.Put(ctx, dgrelay.Deployment, body, given)
	c.platform(err)
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

// adoptOwn puts an object in force that this VM wrote or read.
func (c *control) adoptOwn(obj dandeliongap.Object) {
	c.ask(func(now dandeliongap.Instant) { c.adopt(now, obj) })
}

// zone takes an availability zone out of service or returns it. The state after
// the change is the one asked for, whatever else changed at the same time.
func (c *control) zone(ctx context.Context, name dandeliongap.ZoneName, out bool) (dandeliongap.Version, error) {
	if v := c.view.Load(); v.Deployment == nil || !slices.Contains(v.Deployment.Zones, name) {
		return 0, fmt.Errorf("zone %q is not in the configuration: %w", name, dandeliongap.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	var backoff dgplatform.Backoff
	rng := newRand()
	for {
		version, err := c.tryZone(ctx, name, out)
		if err == nil {
			c.log.Info("zone", "Rule", "D4", "Zone", name, "Out", out, "Version", version)
			return version, nil
		}
		if !pause(ctx, backoff.Next(rng)) {
			return 0, err
		}
	}
}

// zonesBase returns the zones object to change, and whether it was read from the
// platform just now. While the platform answers no reads the change is based on
// what this VM holds; the conditional write fails if that is out of date.
func (c *control) zonesBase(ctx context.Context) (obj dandeliongap.Object, read bool, err error) {
	obj, err = c.store.Get(ctx, dgrelay.Zones)
	c.platform(err)
	switch {
	case err == nil:
		return obj, true, nil
	case errors.Is(err, dandeliongap.ErrNotFound):
		return dandeliongap.Object{Name: dgrelay.Zones}, true, nil
	case !errors.Is(err, dandeliongap.ErrUnreachable):
		return obj, false, err
	}
	obj = c.held(dgrelay.Zones)
	if obj.Deleted {
		obj = dandeliongap.Object{Name: dgrelay.Zones}
	}
	return obj, false, nil
}

func (c *control) tryZone(ctx context.Context, name dandeliongap.ZoneName, out bool) (dandeliongap.Version, error) {
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
	c.platform(err)
	if err != nil {
		return 0, err
	}
	c.adoptOwn(dandeliongap.Object{Name: dgrelay.Zones, Version: version, Body: body})
	return version, nil
}

// pause waits for d; false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
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

// writeID returns a random id for one write of a state object.
func (c *control) writeID() string { return strconv.FormatUint(c.rng.Uint64(), 16) }
