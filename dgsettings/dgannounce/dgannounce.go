// Package dgannounce checks that a daemon announces addresses that others
// can connect to, and that its two listeners have different addresses.
package dgannounce

import (
	_ "embed" // for the example
	"net/netip"

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "announce",
	Title: "A daemon announces addresses that others can connect to, and listens on two different ones",
	Text: "A daemon that listens on all addresses of its VM (0.0.0.0 or [::]) needs the address that callers and other " +
		"VMs connect to. Callers and other VMs use separate listeners.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	for _, section := range in.SectionsOfKind(dgschema.SectionDaemon) {
		checkAnnounced(&report, section, dgschema.KeyCallerListen, dgschema.KeyCallerAnnounce)
		checkAnnounced(&report, section, dgschema.KeyPeerListen, dgschema.KeyPeerAnnounce)
		checkDistinct(&report, section, dgschema.KeyCallerListen, dgschema.KeyPeerListen)
		checkDistinct(&report, section, dgschema.KeyCallerAnnounce, dgschema.KeyPeerAnnounce)
	}
	return report
}

// checkAnnounced reports a listener on all addresses of the VM (0.0.0.0 or [::]) if
// the key of the address to announce is missing. It ignores an invalid address, which
// the check "value" reports.
func checkAnnounced(report *dgtext.Report, section *dgtext.Section, listen, announce string) {
	key, ok := section.Key(listen)
	address, err := netip.ParseAddrPort(key.Value)
	if !ok || err != nil || !address.Addr().IsUnspecified() {
		return
	}
	if _, ok := section.Key(announce); !ok {
		report.Add(key.Line, "%q means all addresses; give the one that others connect to as %q", listen, announce)
	}
}

// checkDistinct reports two keys whose values are written the same.
func checkDistinct(report *dgtext.Report, section *dgtext.Section, a, b string) {
	first, hasFirst := section.Key(a)
	second, hasSecond := section.Key(b)
	if hasFirst && hasSecond && first.Value == second.Value {
		report.Add(max(first.Line, second.Line), "%q and %q are the same address", a, b)
	}
}
