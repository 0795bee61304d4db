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

// Names of the checks that report invalid values.
const (
	CheckValue  = "value"
	CheckUnits  = "units"
	CheckLimits = "limits"
)

// Value is a parsed value. Which field is set depends on the kind.
type Value struct {
	Text    string   // name, level, address, host, token
	List    []string // names, addresses
	Number  int64    // count, duration in microseconds, size in bytes
	Share   float64  // fraction: 0.05 for 5%
	Bool    bool
	Class   dandeliongap.Class
	Replica ReplicaValue
}

// Duration returns the value of a KindDuration.
func (v Value) Duration() time.Duration { return time.Duration(v.Number) * time.Microsecond }

// ReplicaValue is the value of a key "replica N".
type ReplicaValue struct {
	Address string // canonical "IP:port", so that equal addresses are equal strings
	Zone    string
	Leaving bool // the replica gets no new work
}

// ValueFault tells why a value is invalid. The message does not quote the value of a
// token.
type ValueFault struct {
	Check   string // name of the check that reports the fault
	Message string
}

func newValueFault(check, format string, args ...any) *ValueFault {
	return &ValueFault{Check: check, Message: fmt.Sprintf(format, args...)}
}

// Parse parses and validates a value of the key.
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
		return Value{Bool: s == "yes"}, checkOneOf(s, "yes", "no")
	case KindClass:
		class, _ := dandeliongap.ParseClass(s)
		return Value{Class: class}, checkOneOf(s, "urgent", "ordinary", "archive")
	case KindLevel:
		return Value{Text: s}, checkOneOf(s, "debug", "info", "warn", "error")
	case KindAddress, KindListenAddress:
		address, fault := parseAddress(s, r.Kind == KindListenAddress)
		return Value{Text: address}, fault
	case KindAddresses:
		return parseList(s, func(item string) *ValueFault {
			_, fault := parseAddress(item, false)
			return fault
		})
	case KindHostPort:
		return Value{Text: s}, checkHostPort(s)
	case KindToken:
		return Value{Text: s}, r.checkToken(s)
	case KindReplica:
		return parseReplica(s)
	}
	return Value{}, newValueFault(CheckValue, "the key %q has an unknown kind", r.Name)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s is a valid name of a service, availability zone, VM or
// defaults section.
func ValidName(s string) bool { return namePattern.MatchString(s) }

func checkName(s string) *ValueFault {
	if ValidName(s) {
		return nil
	}
	return newValueFault(CheckValue, "%q is not a name: use 1 to 63 lower-case letters, digits and \"-\", not \"-\" first", truncate(s))
}

// truncate limits the length of a quoted value in a message.
func truncate(s string) string {
	const maxBytes = 60
	if len(s) <= maxBytes {
		return s
	}
	return s[:maxBytes] + "..."
}

func checkOneOf(s string, allowed ...string) *ValueFault {
	if slices.Contains(allowed, s) {
		return nil
	}
	return newValueFault(CheckValue, "%q is none of: %s", truncate(s), strings.Join(allowed, ", "))
}

// SplitList splits a list at the commas and trims the spaces around each item.
func SplitList(s string) []string {
	items := strings.Split(s, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

// parseList parses a list separated by commas. Its fault has the messages of all
// invalid items and the check of the last invalid item.
func parseList(s string, check func(string) *ValueFault) (Value, *ValueFault) {
	items := SplitList(s)
	var messages []string
	failedCheck := ""
	for _, item := range items {
		fault := check(item)
		if item == "" {
			fault = newValueFault(CheckValue, "the list has an empty item")
		}
		if fault != nil {
			messages = append(messages, fault.Message)
			failedCheck = fault.Check
		}
	}
	if len(messages) > 0 {
		return Value{}, newValueFault(failedCheck, "%s", strings.Join(messages, "; "))
	}
	return Value{List: items}, nil
}

// quantityPattern matches a decimal number and its unit, which may be empty.
var quantityPattern = regexp.MustCompile(`^(-?[0-9]+(?:\.[0-9]+)?) ?([A-Za-z%µ]*)$`)

// units gives each unit of a kind as a multiple of the base unit of the kind. It does
// not have KindShare, whose only unit is the percent.
var units = map[Kind]map[string]int64{
	KindCount:    {"": 1},
	KindDuration: {"us": microsecond, "ms": millisecond, "s": second, "m": minute},
	KindSize:     {"B": 1, "KiB": kibibyte, "MiB": mebibyte},
}

// unitHelp describes the valid values of a kind. It completes the message "VALUE is
// not ...".
var unitHelp = map[Kind]string{
	KindCount:    "a whole number without a unit, such as 3",
	KindDuration: "a whole number with us, ms, s or m, such as 6ms",
	KindSize:     "a whole number with B, KiB or MiB, such as 64KiB",
	KindShare:    "a number with %, such as 5%",
}

func (r *KeyRule) parseNumber(s string) (Value, *ValueFault) {
	m := quantityPattern.FindStringSubmatch(s)
	if m == nil || strings.Contains(m[1], ".") {
		return Value{}, newValueFault(CheckUnits, "%q is not %s", truncate(s), unitHelp[r.Kind])
	}
	unit, ok := units[r.Kind][m[2]]
	if !ok {
		return Value{}, newValueFault(CheckUnits, "%q is not %s", truncate(s), unitHelp[r.Kind])
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if errors.Is(err, strconv.ErrRange) || n > math.MaxInt64/unit || n < math.MinInt64/unit {
		return Value{}, r.outOfRange(s)
	}
	n *= unit
	if n < r.Min || n > r.Max {
		return Value{}, r.outOfRange(s)
	}
	return Value{Number: n}, nil
}

func (r *KeyRule) parseShare(s string) (Value, *ValueFault) {
	m := quantityPattern.FindStringSubmatch(s)
	if m == nil || m[2] != "%" {
		return Value{}, newValueFault(CheckUnits, "%q is not %s", truncate(s), unitHelp[r.Kind])
	}
	n, err := strconv.ParseFloat(m[1], 64)
	if err != nil || n*percent < float64(r.Min) || n*percent > float64(r.Max) {
		return Value{}, r.outOfRange(s)
	}
	return Value{Share: n / 100}, nil
}

func (r *KeyRule) outOfRange(s string) *ValueFault {
	return newValueFault(CheckLimits, "%q is outside %s to %s", truncate(s), r.formatLimit(r.Min), r.formatLimit(r.Max))
}

// formatLimit formats a limit in the largest unit that divides it evenly.
func (r *KeyRule) formatLimit(n int64) string {
	if r.Kind == KindShare {
		return strconv.FormatInt(n/percent, 10) + "%"
	}
	largest, largestMultiple := "", int64(0)
	for unit, multiple := range units[r.Kind] {
		if n%multiple == 0 && multiple > largestMultiple {
			largest, largestMultiple = unit, multiple
		}
	}
	return strconv.FormatInt(n/largestMultiple, 10) + largest
}

// parseAddress returns the canonical form of an "IP:port"; IPv4-mapped IPv6 addresses
// become IPv4. Unspecified and multicast addresses are valid only for listening.
func parseAddress(s string, forListening bool) (string, *ValueFault) {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return "", newValueFault(CheckValue, "%q is not an IP address with a port, such as 127.0.0.1:9001", truncate(s))
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if address.Port() == 0 {
		return "", newValueFault(CheckLimits, "the port of %q is outside 1 to 65535", truncate(s))
	}
	if !forListening && (address.Addr().IsUnspecified() || address.Addr().IsMulticast()) {
		return "", newValueFault(CheckValue, "nothing can connect to %q", truncate(s))
	}
	return address.String(), nil
}

var hostPortPattern = regexp.MustCompile(`^([A-Za-z0-9][A-Za-z0-9.-]{0,252}):([0-9]{1,5})$`)

// checkHostPort accepts an IP address that others can connect to, or any well-formed
// host name, which it does not resolve.
func checkHostPort(s string) *ValueFault {
	if _, err := netip.ParseAddrPort(s); err == nil {
		_, fault := parseAddress(s, false)
		return fault
	}
	m := hostPortPattern.FindStringSubmatch(s)
	if m == nil {
		return newValueFault(CheckValue, "%q is not a host with a port, such as 10.0.0.1:8080", truncate(s))
	}
	if port, _ := strconv.Atoi(m[2]); port < 1 || port > math.MaxUint16 {
		return newValueFault(CheckLimits, "the port of %q is outside 1 to 65535", truncate(s))
	}
	return nil
}

func (r *KeyRule) checkToken(s string) *ValueFault {
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return newValueFault(CheckValue, "the token has a character other than printable ASCII without spaces")
		}
	}
	if n := int64(len(s)); n < r.Min || n > r.Max {
		return newValueFault(CheckLimits, "the token has %d characters, which is outside %d to %d", n, r.Min, r.Max)
	}
	return nil
}

func parseReplica(s string) (Value, *ValueFault) {
	const form = "IP:PORT in ZONE, or IP:PORT in ZONE leaving"
	fields := strings.Fields(s)
	leaving := len(fields) == 4 && fields[3] == "leaving"
	if len(fields) < 3 || fields[1] != "in" || len(fields) > 3 && !leaving {
		return Value{}, newValueFault(CheckValue, "%q is not of the form %s", truncate(s), form)
	}
	address, fault := parseAddress(fields[0], false)
	if fault != nil {
		return Value{}, fault
	}
	return Value{Replica: ReplicaValue{Address: address, Zone: fields[2], Leaving: leaving}}, checkName(fields[2])
}
