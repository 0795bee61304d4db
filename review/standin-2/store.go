package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the part of an object that the store keeps itself.
type meta struct {
	Name     string
	Revision uint64
}

// object is an object of the store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

// event is a change of an object.
type event struct {
	Object  object
	Deleted bool `json:",omitempty"`
	kind    string
}

// store is a stand-in for the platform's store: a linearizable collection of objects by kind
// and name, with watches. It loses nothing.
type store struct {
	ln net.Listener

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{} // closed and replaced at each change
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }() // ends with the process
	return s, nil
}

func (s *store) addr() string { return s.ln.Addr().String() }

// put writes the spec of an object for the operator or a server.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Meta: meta{Name: name}, Spec: b})
}

// remove removes an object for the operator or a server.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// write stores an object under a new revision. s.mu must be held.
func (s *store) write(kind string, o object) object {
	if old, ok := s.objects[kind][o.Meta.Name]; ok && string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) {
		return old // a write that changes nothing
	}
	s.revision++
	o.Meta.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Meta.Name] = o
	s.publish(event{Object: o, kind: kind})
	return o
}

// delete removes an object. s.mu must be held.
func (s *store) delete(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.publish(event{Object: o, Deleted: true, kind: kind})
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, wire.Objects)
	parts := strings.Split(rest, "/")
	if !ok || parts[0] == "" || len(parts) > 3 {
		http.Error(w, "no such path", http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("Watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	default:
		s.one(w, r, parts, body)
	}
}

// rawByte is a control character. In a name, the store returns it as another writer wrote it: as
// the byte, which JSON does not allow in a string.
const rawByte = "\x01"

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	b = bytes.ReplaceAll(b, []byte(`\u0001`), []byte(rawByte))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	after := r.URL.Query().Get("after")
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	out := map[string]any{"items": items, wire.More: len(names) > pageSize, wire.Revision: s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get(wire.Wait))
	if err != nil || err2 != nil {
		http.Error(w, "invalid watch", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for expired := false; ; {
		events := []event{}
		s.mu.Lock()
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		out := map[string]any{"events": events, wire.Revision: s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) one(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		http.Error(w, "invalid body", http.StatusBadRequest)
		return
	}
	kind, name := parts[0], in.Meta.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	condition := in.Meta.Revision
	if q := r.URL.Query().Get("Revision"); q != "" {
		condition, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	if exists && condition > 0 && condition != old.Meta.Revision {
		reply(w, http.StatusConflict, old)
		return
	}
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost && len(parts) == 1 && name != "":
		reply(w, http.StatusCreated, s.write(kind, object{Meta: meta{Name: name}, Spec: in.Spec}))
	case !exists:
		http.Error(w, fmt.Sprintf("no object %s/%s", kind, name), http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, old)
	case r.Method == http.MethodPut && len(parts) == 3:
		reply(w, http.StatusOK, s.write(kind, object{Meta: meta{Name: name}, Spec: old.Spec, Status: in.Status}))
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.write(kind, object{Meta: meta{Name: name}, Spec: in.Spec, Status: old.Status}))
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		reply(w, http.StatusOK, old)
	default:
		http.Error(w, "no such call", http.StatusMethodNotAllowed)
	}
}
