package dgmember

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
)

type leaseJSON struct {
	Member  dandeliongap.MemberID
	Attempt uint64
	TTLMs   int64
}

// EncodeLease returns the body of a lease object.
func EncodeLease(l Lease) []byte {
	b, err := json.Marshal(leaseJSON{l.Member, l.Attempt, l.TTL.Milliseconds()})
	if err != nil {
		panic(err) // unreachable: strings and numbers always encode
	}
	return b
}

// DecodeLease decodes the body of a lease object. Its errors wrap ErrInvalid.
func DecodeLease(body []byte) (Lease, error) {
	var j leaseJSON
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		return Lease{}, fmt.Errorf("lease: %w: %w", dandeliongap.ErrInvalid, err)
	}
	if j.Member == "" || j.TTLMs <= 0 || j.TTLMs > time.Hour.Milliseconds() {
		return Lease{}, fmt.Errorf("lease of member %q with a TTL of %d ms: %w", j.Member, j.TTLMs, dandeliongap.ErrInvalid)
	}
	return Lease{Member: j.Member, Attempt: j.Attempt, TTL: time.Duration(j.TTLMs) * time.Millisecond}, nil
}
