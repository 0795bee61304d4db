package dgedge

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgquota"
	"github.com/cespare/xxhash/v2"
)

const (
	// quotaAskKind and quotaGrantKind are the kinds of datagrams about quotas, in the place
	// of a dgpresence.MessageKind, which has three bits. VMs that do not know them take them as unreadable. They
	// are sent only while an account has a limit.
	quotaAskKind   = 6
	quotaGrantKind = 7
	// maxQuotaEntries keeps a datagram with asks, and the one with their answers, within one
	// packet.
	maxQuotaEntries = 48
	// maxQuotaTokens is more than any ask has; larger numbers are malformed.
	maxQuotaTokens = 1 << 20
)

// errQuota means that a datagram has no asks or grants.
var errQuota = errors.New("malformed message about quotas")

// accountID stands for the name of an account in datagrams.
//
// It is short, because most messages are about one token of one account. Of 10,000 accounts,
// two have the same with a probability of 0.005%.
type accountID [5]byte

func accountIDOf(name dandeliongap.AccountName) (id accountID) {
	copy(id[:], binary.LittleEndian.AppendUint64(nil, xxhash.Sum64String(string(name))))
	return id
}

type quotaAsk struct {
	account accountID
	ask     dgquota.Ask // without To and Account
}

type quotaAnswer struct {
	account accountID
	grant   dgquota.Grant
}

// isQuota reports whether a datagram for which isShort holds is about quotas.
func isQuota(datagram []byte) bool {
	kind := datagram[0] >> shortKindShift
	return datagram[0]&(1<<shortKindShift-1) == shortMark && (kind == quotaAskKind || kind == quotaGrantKind)
}

// encodeAsks encodes asks as one byte with the kind, followed for each by
//
//	5 bytes    account
//	2 bytes    ID
//	varint     twice the tokens, plus 1 if tokens are returned
//	varint     returned tokens, if there are any
func encodeAsks(asks []dgquota.Ask) []byte {
	b := []byte{shortMark | quotaAskKind<<shortKindShift}
	for _, a := range asks {
		id := accountIDOf(a.Account)
		b = binary.LittleEndian.AppendUint16(append(b, id[:]...), a.ID)
		tokens := 2 * uint64(min(a.Tokens, maxQuotaTokens))
		if a.Returned == 0 {
			b = binary.AppendUvarint(b, tokens)
			continue
		}
		b = binary.AppendUvarint(b, tokens+1)
		b = binary.AppendUvarint(b, uint64(min(a.Returned, maxQuotaTokens)))
	}
	return b
}

// encodeGrants encodes grants as one byte with the kind, followed for each by
//
//	5 bytes    account
//	2 bytes    ID
//	varint     four times the tokens, plus the status
//	varint     milliseconds to wait, rounded up; only with the statuses Short and Filling
func encodeGrants(grants []quotaAnswer) []byte {
	b := []byte{shortMark | quotaGrantKind<<shortKindShift}
	for _, g := range grants {
		b = binary.LittleEndian.AppendUint16(append(b, g.account[:]...), g.grant.ID)
		b = binary.AppendUvarint(b, 4*uint64(min(g.grant.Tokens, maxQuotaTokens))+uint64(g.grant.Status))
		if hasWait(g.grant.Status) {
			b = binary.AppendUvarint(b, uint64((g.grant.Wait+time.Millisecond-1)/time.Millisecond))
		}
	}
	return b
}

// hasWait reports whether a grant with a status tells how long to wait.
func hasWait(s dgquota.Status) bool { return s == dgquota.Short || s == dgquota.Filling }

// decodeQuota decodes a datagram for which isQuota holds. Its error wraps errQuota.
func decodeQuota(datagram []byte) (asks []quotaAsk, grants []quotaAnswer, err error) {
	r := bytes.NewReader(datagram[1:])
	isAsk := datagram[0]>>shortKindShift == quotaAskKind
	number := func(limit uint64) uint64 {
		n, e := binary.ReadUvarint(r)
		if e == nil && n > limit {
			e = fmt.Errorf("number %d, want at most %d", n, limit)
		}
		err = errors.Join(err, e)
		return n
	}
	for r.Len() > 0 && err == nil {
		var head struct {
			Account accountID
			ID      uint16
		}
		if err = binary.Read(r, binary.LittleEndian, &head); err != nil {
			break
		}
		if isAsk {
			n := number(2*maxQuotaTokens + 1)
			a := dgquota.Ask{ID: head.ID, Tokens: int(n / 2)}
			if n%2 == 1 {
				a.Returned = int(number(maxQuotaTokens))
			}
			asks = append(asks, quotaAsk{head.Account, a})
			continue
		}
		n := number(4*maxQuotaTokens + 3)
		g := dgquota.Grant{ID: head.ID, Tokens: int(n / 4), Status: dgquota.Status(n % 4)}
		if hasWait(g.Status) {
			g.Wait = time.Duration(number(uint64(maxQuotaWait/time.Millisecond))) * time.Millisecond
		}
		grants = append(grants, quotaAnswer{head.Account, g})
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errQuota, err)
	}
	return asks, grants, nil
}

// maxQuotaWait is more than any owner tells a VM to wait.
const maxQuotaWait = 2 * time.Hour
