package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It answers at once and loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object // by kind/name
	history  []event
	changed  chan struct{} // closed and replaced at each change

	// watchLimit is the time after which the store cuts off a watch that waits; 0: never.
	watchLimit time.Duration
	// indent formats what the store answers with line breaks and indentation.
	indent bool
}

type object struct {
	name     string
	revision uint64
	spec     string
}

type event struct {
	key     string
	object  object
	deleted bool
}

func newStore() *store {
	return &store{revision: 10, objects: make(map[string]object), changed: make(chan struct{})}
}

func (o object) text() string {
	return fmt.Sprintf(`{"meta":{"Name":%q,"Revision":%d,"Created":1},"spec":%s}`, o.name, o.revision, o.spec)
}

// put writes an object and returns its revision.
func (s *store) put(kind, name, spec string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, spec).revision
}

// write writes an object. s.mu must be held.
func (s *store) write(kind, name, spec string) object {
	s.revision++
	o := object{name, s.revision, spec}
	s.objects[kind+"/"+name] = o
	s.record(event{kind + "/" + name, o, false})
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind + "/" + name)
}

func (s *store) erase(key string) {
	o, ok := s.objects[key]
	if !ok {
		return
	}
	delete(s.objects, key)
	s.revision++
	o.revision = s.revision
	s.record(event{key, o, true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, wire["objects_path"])
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && r.URL.Query().Has(wire["watch"]):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	default:
		s.access(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []string
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, o.text())
		}
	}
	slices.Sort(items)
	s.reply(w, http.StatusOK, message("list", "items", strings.Join(items, ","), "revision", fmt.Sprint(s.revision)))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get(wire["watch"]), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(wire["wait_ms"]))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	var limit <-chan time.Time
	if s.watchLimit > 0 {
		limit = time.After(s.watchLimit)
	}
	for over := false; ; {
		s.mu.Lock()
		var events []string
		for _, e := range s.history {
			if strings.HasPrefix(e.key, kind+"/") && e.object.revision > since {
				events = append(events, fmt.Sprintf(`{"Object":%s,"Deleted":%t}`, e.object.text(), e.deleted))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			s.reply(w, http.StatusOK, message("events", "items", strings.Join(events, ","), "revision", fmt.Sprint(revision)))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-limit:
			panic(http.ErrAbortHandler) // closes the connection without an answer
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) access(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent struct {
		Meta struct {
			Name     string
			Revision uint64
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	if r.Method == http.MethodDelete {
		sent.Meta.Revision, _ = strconv.ParseUint(r.URL.Query().Get("Revision"), 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && found,
		r.Method != http.MethodGet && found && sent.Meta.Revision != 0 && sent.Meta.Revision != o.revision:
		s.reply(w, http.StatusConflict, o.text())
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.reply(w, http.StatusOK, s.write(kind, name, string(sent.Spec)).text())
	case r.Method == http.MethodDelete:
		s.erase(kind + "/" + name)
		s.reply(w, http.StatusOK, o.text())
	default:
		s.reply(w, http.StatusOK, o.text())
	}
}

func (s *store) reply(w http.ResponseWriter, status int, body string) {
	text := []byte(body)
	if s.indent {
		var b bytes.Buffer
		if json.Indent(&b, text, "", "  ") == nil {
			text = b.Bytes()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
