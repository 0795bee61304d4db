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
)

// extendedMark in the first byte tells that the message has the versions of the kinds of
// rollouts too. It is sent only to VMs whose registration says that they read it.
const extendedMark = 0x80

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
// as a varint and five bytes for each hub; for a Question, the digest in four bytes; for a
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
		for _, kind := range kinds {
			b = binary.AppendUvarint(b, uint64(m.Seen[kind]))
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

// decodeShort decodes a datagram for which isShort holds. Its error wraps errShort.
func decodeShort(datagram []byte) (*dgpresence.Message, error) {
	kinds := kinds
	if isExtended(datagram) {
		kinds = extendedKinds
	}
	m := &dgpresence.Message{Kind: dgpresence.MessageKind(datagram[0] &^ extendedMark >> shortKindShift)}
	if datagram[0]&(1<<shortKindShift-1) != shortMark || !m.Kind.Valid() {
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
		m.Seen = make(map[string]dandeliongap.Version, len(kinds))
		for _, kind := range kinds {
			v, err := binary.ReadUvarint(r)
			if err != nil {
				return nil, fmt.Errorf("%w: version of %s: %w", errShort, kind, err)
			}
			if v > 0 {
				m.Seen[kind] = dandeliongap.Version(v)
			}
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
