package dgedge

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// Settings are the settings of one VM, the section [edge] of an INI text.
type Settings struct {
	VM              dandeliongap.VMName
	Zone            dandeliongap.ZoneName
	StoreAddress    string // "IP:port" of the store
	FirstStart      bool   // the whole tier starts for the first time
	EntryListen     string // listen addresses, "IP:port"
	ReadyListen     string
	DirectoryListen string // of the directory
	GossipListen    string
	MetricsListen   string // metrics; empty: none

	ShutdownLimit   time.Duration // from SIGTERM to the end of the process
	MaxDirectoryTTL time.Duration // longest time that callers keep a directory answer
	RetryRatio      float64
	RetrySlack      float64
	RetryWindow     time.Duration
}

// ParseSettings reads and checks an INI text. Its error names every key at fault
// and is ErrInvalid.
func ParseSettings(text []byte) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, text)
	if err != nil {
		return Settings{}, trace.Wrap(errors.Join(dandeliongap.ErrInvalid, err))
	}
	r := reader{sec: f.Section("edge")}
	s := Settings{
		VM:              dandeliongap.VMName(r.text("vm")),
		Zone:            dandeliongap.ZoneName(r.text("zone")),
		StoreAddress:    r.address("store"),
		FirstStart:      r.flag("first start"),
		EntryListen:     r.address("entry listen"),
		ReadyListen:     r.address("ready listen"),
		DirectoryListen: r.address("directory listen"),
		GossipListen:    r.address("gossip listen"),
		ShutdownLimit:   r.duration("shutdown limit"),
		MaxDirectoryTTL: r.duration("directory keep"),
		RetryRatio:      r.share("retry ratio"),
		RetrySlack:      r.number("retry slack"),
		RetryWindow:     r.duration("retry window"),
	}
	if r.sec.HasKey("metrics listen") {
		s.MetricsListen = r.address("metrics listen")
	}
	if r.errs != nil {
		return Settings{}, fmt.Errorf("settings: %w: %w", dandeliongap.ErrInvalid, errors.Join(r.errs...))
	}
	return s, nil
}

// reader collects the faults of a section.
type reader struct {
	sec  *ini.Section
	errs []error
}

func (r *reader) fault(key, want string) {
	r.errs = append(r.errs, fmt.Errorf("key %q has %q, want %s", key, r.sec.Key(key).String(), want))
}

func (r *reader) text(key string) string {
	v := r.sec.Key(key).String()
	if v == "" {
		r.fault(key, "a value")
	}
	return v
}

func (r *reader) address(key string) string {
	v := r.sec.Key(key).String()
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.fault(key, "IP:port")
	}
	return v
}

func (r *reader) flag(key string) bool {
	v, err := r.sec.Key(key).Bool()
	if err != nil {
		r.fault(key, "true or false")
	}
	return v
}

func (r *reader) duration(key string) time.Duration {
	v, err := time.ParseDuration(r.sec.Key(key).String())
	if err != nil || v <= 0 {
		r.fault(key, "a positive time with a unit, such as 6s")
	}
	return v
}

func (r *reader) number(key string) float64 {
	v, err := r.sec.Key(key).Float64()
	if err != nil || v < 0 {
		r.fault(key, "a number of 0 or more")
	}
	return v
}

func (r *reader) share(key string) float64 {
	v := r.number(key)
	if v > 1 {
		r.fault(key, "a number from 0 to 1")
	}
	return v
}
