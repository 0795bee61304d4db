package dandeliongap

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes is the length of the longest name.
const MaxNameBytes = 255

// CheckName returns an error that wraps ErrInvalid unless s can name an object of the store, or
// what such an object describes: a backend server, a service, a zone or a VM. Names that others
// wrote go into heads of requests, paths of the store and log lines as they are. A name has 1 to
// MaxNameBytes bytes of valid UTF-8, no control character or line separator, and no white space
// at either end, which the reader of a head would drop. "." and ".." are no names, because they
// stand for other paths.
//
// Decoders put U+FFFD in the place of bytes that cannot be read, so that different names become
// the same. A name that has it is not valid.
func CheckName(s string) error {
	switch {
	case s == "":
		return fmt.Errorf("%w: name is empty", ErrInvalid)
	case len(s) > MaxNameBytes:
		return fmt.Errorf("%w: name of %d bytes, want at most %d", ErrInvalid, len(s), MaxNameBytes)
	case strings.ContainsRune(s, utf8.RuneError): // also if s is not valid UTF-8
		return fmt.Errorf("%w: name %.60q cannot be read", ErrInvalid, s)
	case strings.ContainsFunc(s, breaksLine):
		return fmt.Errorf("%w: name %.60q has control characters or line separators", ErrInvalid, s)
	case strings.TrimSpace(s) != s:
		return fmt.Errorf("%w: name %.60q has white space at an end", ErrInvalid, s)
	case s == "." || s == "..":
		return fmt.Errorf("%w: name %q is a relative path", ErrInvalid, s)
	}
	return nil
}

func breaksLine(r rune) bool { return unicode.In(r, unicode.Cc, unicode.Zl, unicode.Zp) }

// CheckAddress returns an error that wraps ErrInvalid unless s is "IP:port" with an address that
// means the same on every VM. An unspecified one does not, nor does one with an IPv6 zone,
// which names an interface of one host and may have any text.
func CheckAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		return fmt.Errorf("%w: address %.60q, want IP:port", ErrInvalid, s)
	}
	return nil
}
