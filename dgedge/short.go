package dgedge

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
)

const (
	// shortMark is set in the first byte. No compressed datagram begins with it: it would
	// be a block of the reserved type.
	shortMark      = 0b110
	shortKindShift = 3
	// shortEraFlag is set in the first byte if the versions are those of an era of the
	// store. Only VMs that know eras read such a message (dgpresence V7).
	shortEraFlag = 1 << 7
)

// extendedMark in the first byte tells that the message has the versions of the kinds of
// rollouts too. It is sent only to VMs whose registration says that they read it.
const extendedMark = 1 << 6

// errShort means that a datagram is no message in short form.
var errShort = errors.New("malformed message in short form")

func isShort(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0]&shortMark == shortMark
}

// encodeShort encodes a message in short form as
//
//	1 byte     shortMark, and the kind of the message above shortKindShift
//	3 bytes    process of the sender
//	1 byte     status of the sender
//	varint     count of the sender
//
// followed by, for a Beat and an Answer, the version of the newest change of each of kinds
// as a varint and five bytes for each hub. With shortEraFlag, the versions are the highest era
// of them as a varint, and for each kind 0 if it has no version of that era, and otherwise its
// revision increased by one. For a Question, the digest in four bytes follows; for a
// NameRequest, three bytes for each process. Numbers are little-endian.
func encodeShort(m dgpresence.Message) []byte { return encodeWith(m, kinds, 0) }

// encodeExtended encodes a message in short form with the versions of the kinds of rollouts
// after those of kinds.
func encodeExtended(m dgpresence.Message) []byte { return encodeWith(m, extendedKinds, extendedMark) }

// isExtended reports whether a message in short form was encoded by encodeExtended.
func isExtended(datagram []byte) bool { return datagram[0]&extendedMark != 0 }

func encodeWith(m dgpresence.Message, kinds []string, mark byte) []byte {
	b := []byte{mark | shortMark | byte(m.Kind)<<shortKindShift}
	b = append(b, m.Process[:]...)
	b = append(b, byte(m.Status))
	b = binary.AppendUvarint(b, m.Count)
	switch m.Kind {
	case dgpresence.Beat, dgpresence.Answer:
		era := highestEra(m.Seen)
		if era > 0 {
			b[0] |= shortEraFlag
			b = binary.AppendUvarint(b, uint64(era))
		}
		for _, kind := range kinds {
			v := m.Seen[kind]
			switch {
			case era == 0:
				b = binary.AppendUvarint(b, uint64(v))
			case v.Era() == era:
				b = binary.AppendUvarint(b, v.Revision()+1)
			default:
				b = binary.AppendUvarint(b, 0)
			}
		}
		for _, h := range m.Hubs {
			b = append(append(b, h.Process[:]...), h.Count, byte(h.Status))
		}
	case dgpresence.Question:
		b = binary.LittleEndian.AppendUint32(b, m.Digest)
	case dgpresence.NameRequest:
		for _, id := range m.Processes {
			b = append(b, id[:]...)
		}
	}
	return b
}

func highestEra(seen map[string]dandeliongap.Version) (era dandeliongap.Era) {
	for _, v := range seen {
		era = max(era, v.Era())
	}
	return era
}

// decodeSeen decodes the versions of a Beat or an Answer.
func decodeSeen(r *bytes.Reader, kinds []string, hasEra bool) (map[string]dandeliongap.Version, error) {
	var era uint64
	if hasEra {
		var err error
		if era, err = binary.ReadUvarint(r); err != nil {
			return nil, fmt.Errorf("%w: era: %w", errShort, err)
		}
		if era == 0 || era > uint64(dandeliongap.MaxEra) {
			return nil, fmt.Errorf("%w: era %d", errShort, era)
		}
	}
	seen := make(map[string]dandeliongap.Version, len(kinds))
	for _, kind := range kinds {
		v, err := binary.ReadUvarint(r)
		if err != nil {
			return nil, fmt.Errorf("%w: version of %s: %w", errShort, kind, err)
		}
		switch {
		case v == 0:
		case hasEra:
			seen[kind] = max(dandeliongap.Era(era).Start(), dandeliongap.Era(era).Version(v-1))
		default:
			seen[kind] = dandeliongap.Version(v)
		}
	}
	return seen, nil
}

// decodeShort decodes a datagram for which isShort holds. Its error wraps errShort.
func decodeShort(datagram []byte) (*dgpresence.Message, error) {
	kinds, flags := kinds, datagram[0]&(shortEraFlag|extendedMark)
	if isExtended(datagram) {
		kinds = extendedKinds
	}
	hasEra := flags&shortEraFlag != 0
	m := &dgpresence.Message{Kind: dgpresence.MessageKind((datagram[0] &^ flags) >> shortKindShift)}
	hasVersions := m.Kind == dgpresence.Beat || m.Kind == dgpresence.Answer
	if datagram[0]&(1<<shortKindShift-1) != shortMark || !m.Kind.Valid() || hasEra && !hasVersions {
		return nil, fmt.Errorf("%w: first byte %#x", errShort, datagram[0])
	}
	r := bytes.NewReader(datagram[1:])
	err := binary.Read(r, binary.LittleEndian, &m.Process)
	if err == nil {
		err = binary.Read(r, binary.LittleEndian, &m.Status)
	}
	if err == nil {
		m.Count, err = binary.ReadUvarint(r)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errShort, err)
	}
	switch m.Kind {
	case dgpresence.Beat, dgpresence.Answer:
		if m.Seen, err = decodeSeen(r, kinds, hasEra); err != nil {
			return nil, err
		}
		m.Hubs, err = readRest[dgpresence.Brief](r)
	case dgpresence.Question:
		err = binary.Read(r, binary.LittleEndian, &m.Digest)
	case dgpresence.NameRequest:
		m.Processes, err = readRest[dgpresence.ProcessID](r)
	}
	if err == nil && r.Len() > 0 {
		err = fmt.Errorf("%d bytes too many", r.Len())
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errShort, err)
	}
	return m, nil
}

// readRest reads values of a fixed size until the end.
func readRest[T any](r *bytes.Reader) ([]T, error) {
	var one T
	size := binary.Size(one)
	if r.Len()%size != 0 {
		return nil, io.ErrUnexpectedEOF
	}
	out := make([]T, r.Len()/size)
	return out, binary.Read(r, binary.LittleEndian, out)
}
