package dgedge_test

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgpresence"
	"dandeliongap.example/dandeliongap/dgquota"
)

const (
	// accountRequests is the number of requests a second of all accounts of a site with 81
	// accounts, the largest with 19 a second and most below 1, if all use their limits.
	accountRequests = 75
	// servingVMs and hubs are those of a tier of 610 VMs in five zones that serves it.
	servingVMs, hubs = 10, 20
	// maxQuotaBytes is what the heartbeats of a hub of this tier leave of maxControlBytes
	// (TestHubTraffic).
	maxQuotaBytes = maxControlBytes - 4800
)

// TestQuotaMessages guards against tokens that are lost or multiplied on their way, and
// against a VM of the version before that takes such a message for a heartbeat.
func TestQuotaMessages(t *testing.T) {
	asks := []dgquota.Ask{{ID: 1, Tokens: 3}, {ID: 1<<16 - 1, Tokens: 1000, Returned: 7}, {Returned: 1}}
	datagram := dgedge.EncodeAsks(asks)
	got, _, ok, err := dgedge.DecodeQuota(datagram)
	if !ok || err != nil || !reflect.DeepEqual(got, asks) {
		t.Errorf("asks %+v arrive as %+v, %v", asks, got, err)
	}
	if _, err := dgedge.DecodeShort(datagram); !errors.Is(err, dgedge.ErrShort) {
		t.Errorf("asks are decoded as a heartbeat, error %v", err)
	}
	for _, g := range []dgquota.Grant{{ID: 9, Tokens: 4}, {ID: 1, Status: dgquota.Filling, Wait: 1500 * time.Microsecond}, {ID: 2, Status: dgquota.NotOwner}} {
		_, grants, ok, err := dgedge.DecodeQuota(dgedge.EncodeGrant("a", g))
		g.Wait = (g.Wait + time.Millisecond - 1).Truncate(time.Millisecond)
		if !ok || err != nil || len(grants) != 1 || grants[0] != g {
			t.Errorf("grant %+v arrives as %+v, %v", g, grants, err)
		}
	}
	exchange := len(dgedge.EncodeAsks([]dgquota.Ask{{ID: 1, Tokens: 1}})) + len(dgedge.EncodeGrant("a", dgquota.Grant{ID: 1, Tokens: 1}))
	// A VM asks for its own requests and answers for the accounts that it owns. It asks and
	// answers itself without a message.
	asked, answered := float64(accountRequests)/servingVMs*(1-1.0/hubs), float64(accountRequests)/hubs*(1-1.0/servingVMs)
	rate := float64(exchange) * (asked + answered)
	t.Logf("an exchange about a token has %d bytes, %.0f bytes a second for a hub that serves", exchange, rate)
	if rate > maxQuotaBytes {
		t.Errorf("quotas take %.0f bytes a second, want at most %d", rate, maxQuotaBytes)
	}
	if _, _, ok, _ := dgedge.DecodeQuota(dgedge.EncodeShort(dgpresence.Message{Kind: dgpresence.NameRequest})); ok {
		t.Error("another message is taken as one about quotas")
	}
}

// FuzzDecodeQuota guards against a datagram that crashes a VM or carries numbers that no
// VM sends.
func FuzzDecodeQuota(f *testing.F) {
	f.Add(dgedge.EncodeAsks([]dgquota.Ask{{ID: 1, Tokens: 3}}))
	f.Add(dgedge.EncodeGrant("a", dgquota.Grant{ID: 1, Status: dgquota.Short, Wait: time.Second}))
	f.Add([]byte{0x86, 1, 2, 3})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		asks, grants, _, err := dgedge.DecodeQuota(datagram)
		if err != nil {
			if !errors.Is(err, dgedge.ErrQuota) {
				t.Fatalf("error %v", err)
			}
			return
		}
		for _, a := range asks {
			if a.Tokens < 0 || a.Returned < 0 || a.Tokens > 1<<20 || a.Returned > 1<<20 {
				t.Fatalf("%+v", a)
			}
		}
		for _, g := range grants {
			if g.Tokens < 0 || g.Tokens > 1<<20 || g.Wait < 0 {
				t.Fatalf("%+v", g)
			}
		}
	})
}
