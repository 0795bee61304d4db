package dgedge

import (
	"net/http"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dgmemory"
)

// placeRetry is the Retry-After of a request for whose sub-requests there is no room: searches
// that wait for slow replicas take about that long.
const placeRetry = 200 * time.Millisecond

// takePlaces takes n places, and reports whether there was room for them (dgmemory M9). With
// force there always is.
func (l *callerListener) takePlaces(n int64, force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !force && l.places > 0 && !l.makePlaces(n) {
		return false
	}
	l.places += n
	l.account.Add(dgmemory.PlaceBytes(n))
	return true
}

// makePlaces ends connections so that n more places may be taken, and reports whether they may.
// l.mu must be held.
func (l *callerListener) makePlaces(n int64) bool {
	now := dandeliongap.Instant(time.Since(l.start))
	missing, ok := l.sockets.MissingForPlaces(n, int64(len(l.open)), l.places)
	if !ok {
		return false
	}
	l.makeSockets(now, missing)
	if missing, _ := l.sockets.MissingForPlaces(n, int64(len(l.open)), l.places); missing > 0 {
		return false
	}
	bytes, large := dgmemory.PlaceBytes(n), int64(0)
	if n > 1 {
		large = bytes // M3
	}
	if missing := l.account.Missing(bytes, large); missing > 0 {
		conns, holders := l.holders()
		for _, i := range l.account.Victims(now, holders, -1, 0, missing) {
			l.end(conns[i], "M4")
		}
	}
	return l.account.Missing(bytes, large) == 0
}

// releasePlaces gives n places back.
func (l *callerListener) releasePlaces(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places -= n
	l.account.Add(-dgmemory.PlaceBytes(n))
}

// reservation holds the places of a request. It is safe for concurrent use.
type reservation struct {
	l *callerListener

	mu       sync.Mutex
	free     int64 // places of attempts that have not started
	finished bool  // no more attempts start
}

// reserve takes a place for each shard of a request, or refuses the request.
func (e *Edge) reserve(shards int) (*reservation, dgadmit.Refusal) {
	if !e.callers.takePlaces(int64(shards), false) {
		return nil, dgadmit.Refusal{Status: http.StatusServiceUnavailable, Rule: "M9", Reason: "NoPlace", Text: "not run: too many sub-requests are in progress", RetryAfter: placeRetry}
	}
	return &reservation{l: e.callers, free: int64(shards)}, dgadmit.Refusal{}
}

// start takes a place for an attempt, and reports whether there is one. With force there
// always is.
func (r *reservation) start(force bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.free > 0 {
		r.free--
		return true
	}
	return r.l.takePlaces(1, force)
}

// end gives back the place of an attempt, or keeps it for another attempt.
func (r *reservation) end(keep bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if keep && !r.finished {
		r.free++
		return
	}
	r.l.releasePlaces(1)
}

// finish gives back the places of attempts that have not started.
func (r *reservation) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
	r.l.releasePlaces(r.free)
	r.free = 0
}

// trimIdle closes idle connections to backend servers if there are too many beside conns
// connections of callers (dgmemory M10).
func (e *Edge) trimIdle(conns int64) {
	e.forward.CloseIdle(e.plan.Sockets.ExcessIdle(conns, e.forward.Open()))
}
