package dgstandin

// coldStart is the state of a backend server's cold start.
//
// Rules:
//
//	C1: While the server is cold, a new request is above the limit if it and the
//	    requests in the server together are more than the cold limit.
//	C2: The VM that owns the server learns of the cold start only from an
//	    answer. Until then, it can have at most as many requests under way as
//	    the server has slots. Requests above the limit are therefore excused,
//	    and counted in ColdUnannounced, up to the number of slots less the
//	    number of requests that were in the server when it turned cold.
//	    Further requests above the limit are violations.
//	C3: Only answers to requests within the limit count towards
//	    BackendOptions.WarmAfter.
type coldStart struct {
	active      bool
	answersLeft int // answers needed until the server is warm
	excusesLeft int // requests above the limit that C2 still excuses
}

// begin starts a cold start, which ends after warmAfter answers to requests within
// the limit. busy is the number of requests in the server.
func (s *coldStart) begin(warmAfter, slots, busy int) {
	s.active = true
	s.answersLeft = warmAfter
	s.excusesLeft = max(0, slots-busy)
}

// classify reports whether a new request is above the cold limit (C1) and, if
// so, whether it is excused (C2). busy is the number of requests in the server,
// including the new one.
func (s *coldStart) classify(busy, limit int) (above, excused bool) {
	if !s.active || busy <= limit {
		return false, false
	}
	if s.excusesLeft == 0 {
		return true, false
	}
	s.excusesLeft--
	return true, true
}

// answered counts an answer to a request within the limit (C3).
func (s *coldStart) answered() {
	if !s.active {
		return
	}
	s.answersLeft--
	if s.answersLeft <= 0 {
		s.active = false
	}
}
