package dgschema

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Names of the checks that report problems of single values.
const (
	CheckValue  = "value"
	CheckUnits  = "units"
	CheckLimits = "limits"
)

// Value is a value that follows its rule. Which field is set depends on the kind.
type Value struct {
	Text    string   // name, level, address, host, token
	List    []string // names, addresses
	Number  int64    // count, time in microseconds, size in bytes
	Share   float64  // 0.05 = 5%
	Bool    bool
	Class   dandeliongap.Class
	Replica ReplicaValue
}

// Duration returns the value of a time.
func (v Value) Duration() time.Duration { return time.Duration(v.Number) * time.Microsecond }

// ReplicaValue is the value of a key "replica N".
type ReplicaValue struct {
	Address string // canonical "IP:port"
	Zone    string
	Leaving bool
}

// ValueFault tells why a value does not follow its rule. The message does not
// quote the value of a token.
type ValueFault struct {
	Check   string
	Message string
}

func bad(check, format string, args ...any) *ValueFault {
	return &ValueFault{Check: check, Message: fmt.Sprintf(format, args...)}
}

// Parse reads a value.
func (r *KeyRule) Parse(s string) (Value, *ValueFault) {
	switch r.Kind {
	case KindName:
		return Value{Text: s}, checkName(s)
	case KindNames:
		return parseList(s, checkName)
	case KindCount, KindDuration, KindSize:
		return r.parseNumber(s)
	case KindShare:
		return r.parseShare(s)
	case KindYesNo:
		return Value{Bool: s == "yes"}, oneOf(s, "yes", "no")
	case KindClass:
		class, _ := dandeliongap.ParseClass(s)
		return Value{Class: class}, oneOf(s, "urgent", "ordinary", "archive")
	case KindLevel:
		return Value{Text: s}, oneOf(s, "debug", "info", "warn", "error")
	case KindAddress, KindListenAddress:
		address, p := parseAddress(s, r.Kind == KindListenAddress)
		return Value{Text: address}, p
	case KindAddresses:
		return parseList(s, func(item string) *ValueFault {
			_, p := parseAddress(item, false)
			return p
		})
	case KindHostPort:
		return Value{Text: s}, checkHost(s)
	case KindToken:
		return Value{Text: s}, r.checkToken(s)
	case KindReplica:
		return parseReplica(s)
	}
	return Value{}, bad(CheckValue, "the rule of %q has no known form", r.Name)
}

var name = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s may name a service, zone, VM or defaults section.
func ValidName(s string) bool { return name.MatchString(s) }

func checkName(s string) *ValueFault {
	if ValidName(s) {
		return nil
	}
	return bad(CheckValue, "%q is not a name: use 1 to 63 lower-case letters, digits and \"-\", not \"-\" first", shorten(s))
}

// shorten bounds what a message quotes.
func shorten(s string) string {
	const most = 60
	if len(s) <= most {
		return s
	}
	return s[:most] + "..."
}

func oneOf(s string, allowed ...string) *ValueFault {
	if slices.Contains(allowed, s) {
		return nil
	}
	return bad(CheckValue, "%q is none of: %s", shorten(s), strings.Join(allowed, ", "))
}

// SplitList splits a list at its commas.
func SplitList(s string) []string {
	items := strings.Split(s, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

// parseList reports the problems of all items in one message.
func parseList(s string, check func(string) *ValueFault) (Value, *ValueFault) {
	items := SplitList(s)
	var messages []string
	kind := ""
	for _, item := range items {
		p := check(item)
		if item == "" {
			p = bad(CheckValue, "the list has an empty item")
		}
		if p != nil {
			messages = append(messages, p.Message)
			kind = p.Check
		}
	}
	if len(messages) > 0 {
		return Value{}, bad(kind, "%s", strings.Join(messages, "; "))
	}
	return Value{List: items}, nil
}

var quantity = regexp.MustCompile(`^(-?[0-9]+(?:\.[0-9]+)?) ?([A-Za-z%µ]*)$`)

// units maps each unit to its size in the base unit of the kind.
var units = map[Kind]map[string]int64{
	KindCount:    {"": 1},
	KindDuration: {"us": microsecond, "ms": millisecond, "s": second, "m": minute},
	KindSize:     {"B": 1, "KiB": kibibyte, "MiB": mebibyte},
}

var unitHelp = map[Kind]string{
	KindCount:    "a whole number without a unit, such as 3",
	KindDuration: "a whole number with us, ms, s or m, such as 6ms",
	KindSize:     "a whole number with B, KiB or MiB, such as 64KiB",
	KindShare:    "a number with %, such as 5%",
}

func (r *KeyRule) parseNumber(s string) (Value, *ValueFault) {
	m := quantity.FindStringSubmatch(s)
	if m == nil || strings.Contains(m[1], ".") {
		return Value{}, bad(CheckUnits, "%q is not %s", shorten(s), unitHelp[r.Kind])
	}
	unit, ok := units[r.Kind][m[2]]
	if !ok {
		return Value{}, bad(CheckUnits, "%q is not %s", shorten(s), unitHelp[r.Kind])
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if errors.Is(err, strconv.ErrRange) || n > math.MaxInt64/unit || n < math.MinInt64/unit {
		return Value{}, r.outside(s)
	}
	n *= unit
	if n < r.Min || n > r.Max {
		return Value{}, r.outside(s)
	}
	return Value{Number: n}, nil
}

func (r *KeyRule) parseShare(s string) (Value, *ValueFault) {
	m := quantity.FindStringSubmatch(s)
	if m == nil || m[2] != "%" {
		return Value{}, bad(CheckUnits, "%q is not %s", shorten(s), unitHelp[r.Kind])
	}
	n, err := strconv.ParseFloat(m[1], 64)
	if err != nil || n*percent < float64(r.Min) || n*percent > float64(r.Max) {
		return Value{}, r.outside(s)
	}
	return Value{Share: n / 100}, nil
}

func (r *KeyRule) outside(s string) *ValueFault {
	return bad(CheckLimits, "%q is outside %s to %s", shorten(s), r.print(r.Min), r.print(r.Max))
}

// print writes a limit in the largest unit that divides it.
func (r *KeyRule) print(n int64) string {
	if r.Kind == KindShare {
		return strconv.FormatInt(n/percent, 10) + "%"
	}
	best, size := "", int64(0)
	for unit, u := range units[r.Kind] {
		if n%u == 0 && u > size {
			best, size = unit, u
		}
	}
	return strconv.FormatInt(n/size, 10) + best
}

func parseAddress(s string, listen bool) (string, *ValueFault) {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return "", bad(CheckValue, "%q is not an IP address with a port, such as 127.0.0.1:9001", shorten(s))
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if address.Port() == 0 {
		return "", bad(CheckLimits, "the port of %q is outside 1 to 65535", shorten(s))
	}
	if !listen && (address.Addr().IsUnspecified() || address.Addr().IsMulticast()) {
		return "", bad(CheckValue, "nothing can connect to %q", shorten(s))
	}
	return address.String(), nil
}

var hostPort = regexp.MustCompile(`^([A-Za-z0-9][A-Za-z0-9.-]{0,252}):([0-9]{1,5})$`)

func checkHost(s string) *ValueFault {
	if _, err := netip.ParseAddrPort(s); err == nil {
		_, p := parseAddress(s, false)
		return p
	}
	m := hostPort.FindStringSubmatch(s)
	if m == nil {
		return bad(CheckValue, "%q is not a host with a port, such as 10.0.0.1:8080", shorten(s))
	}
	if port, _ := strconv.Atoi(m[2]); port < 1 || port > math.MaxUint16 {
		return bad(CheckLimits, "the port of %q is outside 1 to 65535", shorten(s))
	}
	return nil
}

func (r *KeyRule) checkToken(s string) *ValueFault {
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return bad(CheckValue, "the token has a character other than printable ASCII without spaces")
		}
	}
	if n := int64(len(s)); n < r.Min || n > r.Max {
		return bad(CheckLimits, "the token has %d characters, which is outside %d to %d", n, r.Min, r.Max)
	}
	return nil
}

func parseReplica(s string) (Value, *ValueFault) {
	const form = "IP:PORT in ZONE, or IP:PORT in ZONE leaving"
	f := strings.Fields(s)
	leaving := len(f) == 4 && f[3] == "leaving"
	if len(f) < 3 || f[1] != "in" || len(f) > 3 && !leaving {
		return Value{}, bad(CheckValue, "%q is not of the form %s", shorten(s), form)
	}
	address, p := parseAddress(f[0], false)
	if p != nil {
		return Value{}, p
	}
	return Value{Replica: ReplicaValue{Address: address, Zone: f[2], Leaving: leaving}}, checkName(f[2])
}
