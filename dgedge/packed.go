package dgedge

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgwatch"
)

// packedType is the content type of control state in packed form: compressed gob. A
// configuration of hundreds of routes takes some hundred KB as JSON, which the VMs that
// stand by pull from few hubs whenever it changes.
const packedType = "application/x-gob-deflate"

// packedState is control state in packed form.
type packedState struct {
	key  packedKey
	body []byte
}

// packedKey identifies what was packed of a kind.
type packedKey struct {
	since, version dandeliongap.Version
	full           bool
	generation     uint64 // of the state
}

// packedCache holds the packed state that was last asked for, by kind: most VMs ask for
// the same changes. The zero value is empty. It is safe for concurrent use.
type packedCache struct {
	mu     sync.Mutex
	byKind map[string]packedState
}

// pack returns the packed form of the changes of a kind since a version.
func (c *packedCache) pack(kind string, since dandeliongap.Version, s dgwatch.State) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := packedKey{since, s.Version, s.Full, s.Generation()}
	if p, ok := c.byKind[kind]; ok && p.key == key {
		return p.body, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(w).Encode(s); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if c.byKind == nil {
		c.byKind = make(map[string]packedState)
	}
	c.byKind[kind] = packedState{key, b.Bytes()}
	return b.Bytes(), nil
}

// unpackState decodes control state in packed form of at most maxChangesBytes.
func unpackState(body []byte) (s dgwatch.State, err error) {
	r := flate.NewReader(bytes.NewReader(body))
	err = gob.NewDecoder(io.LimitReader(r, maxChangesBytes)).Decode(&s)
	return s, err
}
