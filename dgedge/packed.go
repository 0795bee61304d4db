package dgedge

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmemory"
	"dandeliongap.example/dandeliongap/dgwatch"
	"github.com/valyala/fasthttp"
)

// packedType is the content type of control state in packed form: compressed gob. A
// configuration of hundreds of routes takes some hundred KB as JSON, which the VMs that
// stand by pull from few hubs whenever it changes.
const packedType = "application/x-gob-deflate"

// freeAnswerBytes is the size up to which answers with control state are not counted.
const freeAnswerBytes = 16 << 10

// answerKey identifies an answer with control state of a kind.
type answerKey struct {
	packed         bool
	since, version dandeliongap.Version
	full           bool
	generation     uint64 // of the state
}

// answer is the body of an answer with control state.
type answer struct {
	key  answerKey
	id   dgmemory.BodyID
	body []byte
}

// answers encodes control state for other VMs, one answer at a time, and keeps the last one of
// each kind and form: most VMs ask for the same changes. It is safe for concurrent use.
type answers struct {
	ended func() // called for each delivery that ends to make room

	mu         sync.Mutex
	kept       map[string]answer // by kind and form
	lastID     dgmemory.BodyID
	deliveries dgmemory.Answers
	conns      map[dgmemory.DeliveryID]net.Conn
}

func newAnswers(limit int64, ended func()) *answers {
	return &answers{ended: ended, kept: make(map[string]answer), deliveries: dgmemory.NewAnswers(limit), conns: make(map[dgmemory.DeliveryID]net.Conn)}
}

// encode returns the answer with the state that read returns. The state is read only when it is
// the turn of this answer, so that those that wait take no memory.
func (a *answers) encode(kind string, since dandeliongap.Version, packed bool, read func() (dgwatch.State, error)) (answer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, err := read()
	if err != nil {
		return answer{}, err
	}
	key, place := answerKey{packed, since, s.Version, s.Full, s.Generation()}, fmt.Sprint(kind, packed)
	if kept, ok := a.kept[place]; ok && kept.key == key {
		return kept, nil
	}
	encode := func(s dgwatch.State) ([]byte, error) { return json.Marshal(s) }
	if packed {
		encode = packState
	}
	body, err := encode(s)
	if err != nil {
		return answer{}, err
	}
	a.lastID++
	out := answer{key, a.lastID, body}
	a.kept[place] = out
	return out, nil
}

// deliver sets the body of a response. A long one counts until it has been written, and its
// connection may be closed before (dgmemory M8).
func (a *answers) deliver(ctx *fasthttp.RequestCtx, out answer) {
	if len(out.body) <= freeAnswerBytes {
		ctx.Response.SetBodyRaw(out.body)
		return
	}
	a.mu.Lock()
	id, ended := a.deliveries.Begin(out.id, int64(len(out.body)))
	var conns []net.Conn
	for _, e := range ended {
		conns = append(conns, a.conns[e])
		delete(a.conns, e)
	}
	a.conns[id] = ctx.Conn()
	a.mu.Unlock()
	for _, c := range conns {
		a.ended()
		_ = c.Close() // fails only if it is closed already
	}
	ctx.Response.SetBodyStream(&reservedBody{Reader: bytes.NewReader(out.body), release: func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.deliveries.End(id)
		delete(a.conns, id)
	}}, len(out.body))
}

// packState encodes control state in packed form.
func packState(s dgwatch.State) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(w).Encode(s); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// unpackState decodes control state in packed form of at most maxChangesBytes.
func unpackState(body []byte) (s dgwatch.State, err error) {
	r := flate.NewReader(bytes.NewReader(body))
	err = gob.NewDecoder(io.LimitReader(r, maxChangesBytes)).Decode(&s)
	return s, err
}
