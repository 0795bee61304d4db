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
