package dgsoak

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

// recordBytes is the size of a record in the body of a response.
const recordBytes = 16

// maxRecords is the largest number of records of a part.
const maxRecords = 6

// content returns the body of the response of a service to a request: some records, and
// sometimes a rest that is shorter than a record.
func content(service dandeliongap.ServiceName, id RequestID) []byte {
	h := xxhash.Sum64String(string(service) + "/" + string(id))
	var b []byte
	for i := range 1 + h%maxRecords {
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(binary.BigEndian.AppendUint64(nil, h+2*i)))
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(binary.BigEndian.AppendUint64(nil, h+2*i+1)))
	}
	if service == archiveService {
		b = append(b, make([]byte, archiveBytes)...)
	}
	return append(b, make([]byte, h>>32%recordBytes)...)
}

const (
	// archiveBytes is added to the responses of the archive, which do not fit into one
	// packet.
	archiveBytes = 36 << 10
	// shortWork is the time that a request takes, but at the archive. There it takes up to
	// longWork.
	shortWork, longWork = 5 * time.Millisecond, 3 * time.Second
)

// workTime returns the time that a request takes at a backend server.
func workTime(service dandeliongap.ServiceName, id RequestID) time.Duration {
	if service != archiveService {
		return shortWork
	}
	return time.Duration(xxhash.Sum64String("work/"+string(id)) % uint64(longWork))
}

const stampSeparator = "~"

// stamp returns the stamp of a response.
func stamp(instance dandeliongap.InstanceID, service dandeliongap.ServiceName, id RequestID) string {
	return strings.Join([]string{string(service), string(instance), string(id)}, stampSeparator)
}

// stampOf decodes a stamp.
func stampOf(s string) (service dandeliongap.ServiceName, instance dandeliongap.InstanceID, id RequestID, ok bool) {
	parts := strings.Split(s, stampSeparator)
	if len(parts) != 3 {
		return "", "", "", false
	}
	return dandeliongap.ServiceName(parts[0]), dandeliongap.InstanceID(parts[1]), RequestID(parts[2]), true
}

// merge returns the greatest k records of parts, falling.
func merge(parts [][]byte, k int) []byte {
	var records [][]byte
	for _, p := range parts {
		for len(p) >= recordBytes {
			records = append(records, p[:recordBytes])
			p = p[recordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(records[:min(k, len(records))]...)
}
