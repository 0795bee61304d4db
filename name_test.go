package dandeliongap_test

import (
	"errors"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap"
)

// TestCheckName guards against names that change the head or the path into which they are
// written, and against different unreadable names that count as one.
func TestCheckName(t *testing.T) {
	for _, name := range []string{"i-7f3a91c2", "vm 1", "zürich-1", "a/b", "...", "k:v=\"x\"", strings.Repeat("n", dandeliongap.MaxNameBytes)} {
		if err := dandeliongap.CheckName(name); err != nil {
			t.Errorf("CheckName(%q) = %v, want nil", name, err)
		}
	}
	for _, name := range []string{
		"", ".", "..", " ", "i-0 ", "\ti-0", "i-0\n", "i-0\r\nHost: h", "i\x000", "i-0\x7f", "i-0\u0085", "i-0\u00a0", "i\u20280", "i\u20290",
		"i-0\xff", "i-0\ufffd", strings.Repeat("n", dandeliongap.MaxNameBytes+1),
	} {
		if err := dandeliongap.CheckName(name); !errors.Is(err, dandeliongap.ErrInvalid) {
			t.Errorf("CheckName(%q) = %v, want ErrInvalid", name, err)
		}
	}
}

// TestCheckAddress guards against addresses that mean something else on each VM, and against
// text of another writer in them.
func TestCheckAddress(t *testing.T) {
	for _, s := range []string{"10.1.0.9:8104", "[fe80::1]:80", "[::ffff:10.0.0.1]:65535"} {
		if err := dandeliongap.CheckAddress(s); err != nil {
			t.Errorf("CheckAddress(%q) = %v, want nil", s, err)
		}
	}
	for _, s := range []string{"", "10.1.0.9", "10.1.0.9:0", "0.0.0.0:80", "[::]:80", "host:80", "[fe80::1%eth0]:80", "[fe80::1%\r\nx]:80"} {
		if err := dandeliongap.CheckAddress(s); !errors.Is(err, dandeliongap.ErrInvalid) {
			t.Errorf("CheckAddress(%q) = %v, want ErrInvalid", s, err)
		}
	}
}
