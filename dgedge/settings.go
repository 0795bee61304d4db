package dgedge

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgquota"
	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// Settings are the settings of one VM, from the section [edge] of an INI file.
type Settings struct {
	VM              dandeliongap.VMName
	Zone            dandeliongap.ZoneName
	StoreAddress    string  // "IP:port" of the store
	FirstStart      bool    // first start of the whole tier; no earlier process has used the retry budget
	EntryListen     string  // "IP:port" for callers; the other listen addresses have the same form
	ReadyListen     string  // readiness check
	DirectoryListen string  // directory of the VMs that accept callers
	Cores           float64 // processor cores of the VM, which may be a fraction; 0: unknown
	GossipListen    string  // UDP for heartbeats, TCP for VMs that pull changes
	MetricsListen   string  // optional; empty if metrics are not served
	MemoryLimitMB   float64 // memory of the VM; 0: that of the process, if it is limited
	DescriptorLimit float64 // descriptors of the VM, those for files included; 0: those of the process

	ShutdownLimit   time.Duration // maximum time from SIGTERM to the exit of the process
	MaxDirectoryTTL time.Duration // upper bound of the TTL in directory responses
	RetryRatio      float64       // extra requests (retries and hedges) allowed per first request
	RetrySlack      float64       // additional extra requests allowed per RetryWindow, for all VMs together
	RolloutShare    float64       // of the requests to a service, to the target of a rollout; 0: rollouts are off
	RolloutSlack    float64       // additional requests to the target, for all VMs together
	RollbackLimit   time.Duration // time after which no VM sends to a bad target any more; 0: not limited
	RetryWindow     time.Duration // sliding window in which RetryRatio and RetrySlack limit the extra requests

	// Bounds of the quotas of accounts; nil: not set.
	Quota *dgquota.Bounds
	// RevokeTime and ConfigTime are the times that the platform allows for the removal of a
	// key and for a new configuration. They are logged only; 0: not set.
	RevokeTime, ConfigTime time.Duration
}

// ParseSettings parses and validates an INI file. Its error wraps dandeliongap.ErrInvalid
// and, unless the file cannot be parsed, lists every invalid key.
func ParseSettings(text []byte) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, text)
	if err != nil {
		return Settings{}, trace.Wrap(errors.Join(dandeliongap.ErrInvalid, err))
	}
	r := sectionReader{section: f.Section("edge")}
	s := Settings{
		VM:              dandeliongap.VMName(r.name("vm")),
		Zone:            dandeliongap.ZoneName(r.name("zone")),
		StoreAddress:    r.address("store"),
		FirstStart:      r.flag("first start"),
		EntryListen:     r.address("entry listen"),
		ReadyListen:     r.address("ready listen"),
		DirectoryListen: r.address("directory listen"),
		GossipListen:    r.address("gossip listen"),
		ShutdownLimit:   r.duration("shutdown limit"),
		MaxDirectoryTTL: r.duration("directory keep"),
		RetryRatio:      r.ratio("retry ratio"),
		RetrySlack:      r.number("retry slack"),
		RetryWindow:     r.duration("retry window"),
	}
	if r.section.HasKey("cores") {
		s.Cores = r.number("cores")
		if r.section.HasKey("core share") {
			s.Cores *= r.ratio("core share")
		}
	}
	if r.isSet("canary share") {
		s.RolloutShare = r.ratio("canary share")
	}
	if r.isSet("canary slack") {
		s.RolloutSlack = r.number("canary slack")
	}
	if r.isSet("rollback limit ms") {
		s.RollbackLimit = time.Duration(r.number("rollback limit ms") * float64(time.Millisecond))
	}
	s.Quota = r.quotaBounds()
	s.RevokeTime, s.ConfigTime = r.optionalMillis("revoke time ms"), r.optionalMillis("config time ms")
	if r.section.HasKey("metrics listen") {
		s.MetricsListen = r.address("metrics listen")
	}
	s.MemoryLimitMB = r.optionalNumber("memory limit")
	s.DescriptorLimit = r.optionalNumber("descriptor limit")
	if r.errs != nil {
		return Settings{}, fmt.Errorf("settings: %w: %w", dandeliongap.ErrInvalid, errors.Join(r.errs...))
	}
	return s, nil
}

// equal reports whether two settings are the same.
func (s Settings) equal(o Settings) bool {
	same := equalBounds(s.Quota, o.Quota)
	s.Quota, o.Quota = nil, nil
	return same && s == o
}

func equalBounds(a, b *dgquota.Bounds) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// sectionReader reads the keys of a section. It collects the errors so that all invalid
// keys are reported at once.
type sectionReader struct {
	section *ini.Section
	errs    []error
}

func (r *sectionReader) invalid(key, want string) {
	r.errs = append(r.errs, fmt.Errorf("key %q has %q, want %s", key, r.section.Key(key).String(), want))
}

// isSet reports whether a key that may be left out or empty has a value.
func (r *sectionReader) isSet(key string) bool { return r.section.Key(key).String() != "" }

// name reads the name of this VM or its zone, which other VMs check in its registration.
func (r *sectionReader) name(key string) string {
	v := r.section.Key(key).String()
	if err := dandeliongap.CheckName(v); err != nil {
		r.errs = append(r.errs, fmt.Errorf("key %q: %w", key, err))
	}
	return v
}

func (r *sectionReader) address(key string) string {
	v := r.section.Key(key).String()
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.invalid(key, "IP:port")
	}
	return v
}

func (r *sectionReader) flag(key string) bool {
	v, err := r.section.Key(key).Bool()
	if err != nil {
		r.invalid(key, "true or false")
	}
	return v
}

func (r *sectionReader) duration(key string) time.Duration {
	v, err := time.ParseDuration(r.section.Key(key).String())
	if err != nil || v <= 0 {
		r.invalid(key, "a positive time with a unit, such as 6s")
	}
	return v
}

func (r *sectionReader) number(key string) float64 {
	v, err := r.section.Key(key).Float64()
	if err != nil || v < 0 {
		r.invalid(key, "a number of 0 or more")
	}
	return v
}

// optionalNumber returns 0 if the key is missing or empty.
func (r *sectionReader) optionalNumber(key string) float64 {
	if r.section.Key(key).String() == "" {
		return 0
	}
	return r.number(key)
}

func (r *sectionReader) ratio(key string) float64 {
	v := r.number(key)
	if v > 1 {
		r.invalid(key, "a number from 0 to 1")
	}
	return v
}

// set reports whether an optional key has a value. A platform that has none writes an empty
// one.
func (r *sectionReader) set(key string) bool { return r.section.Key(key).String() != "" }

// quotaBounds reads the bounds of quotas. Those that are not set are as in
// dgquota.DefaultBounds; without any, it returns nil.
func (r *sectionReader) quotaBounds() *dgquota.Bounds {
	b, found := dgquota.DefaultBounds, false
	for key, read := range map[string]func(key string){
		"quota window s": func(key string) {
			if n := r.number(key); n < minQuotaWindow.Seconds() || n > maxQuotaWindow.Seconds() {
				r.invalid(key, fmt.Sprintf("seconds from %g to %g", minQuotaWindow.Seconds(), maxQuotaWindow.Seconds()))
			} else {
				b.Window = time.Duration(n * float64(time.Second))
			}
		},
		"quota overshoot": func(key string) { b.Overshoot = r.ratio(key) },
		"quota slack":     func(key string) { b.Slack = r.number(key) },
	} {
		if r.set(key) {
			found = true
			read(key)
		}
	}
	if !found {
		return nil
	}
	return &b
}

const (
	minQuotaWindow = 100 * time.Millisecond
	maxQuotaWindow = time.Hour
)

func (r *sectionReader) optionalMillis(key string) time.Duration {
	if !r.set(key) {
		return 0
	}
	n := r.number(key)
	if n > float64(maxQuotaWindow.Milliseconds()) {
		r.invalid(key, fmt.Sprintf("milliseconds up to %d", maxQuotaWindow.Milliseconds()))
	}
	return time.Duration(n * float64(time.Millisecond))
}
