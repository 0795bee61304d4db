package dgstandin

// coldStart follows one backend server through cold starts.
//
// Rules:
//
//	C1: While cold, a request is above the limit if it and the requests in the
//	    server are more than the cold limit.
//	C2: An owner cannot know that the server turned cold before an answer says
//	    so. At most as many requests as there are slots can be under way at that
//	    moment. That many, less those in the server when it turned cold, count as
//	    unannounced; further ones above the limit are violations.
//	C3: Each answer to a request within the limit brings the server closer to
//	    being warm; requests above the limit bring it no closer.
type coldStart struct {
	cold        bool
	left        int // answers until warm
	unannounced int // requests above the limit that C2 still excuses
}

// turn makes the server cold while busy requests are in it.
func (s *coldStart) turn(warmAfter, slots, busy int) {
	s.cold = true
	s.left = warmAfter
	s.unannounced = max(0, slots-busy)
}

// start classifies a request that makes the number of requests in the server
// busy.
func (s *coldStart) start(busy, limit int) (above, excused bool) {
	if !s.cold || busy <= limit {
		return false, false
	}
	if s.unannounced == 0 {
		return true, false
	}
	s.unannounced--
	return true, true
}

// answered counts an answer to a request within the limit.
func (s *coldStart) answered() {
	if !s.cold {
		return
	}
	s.left--
	if s.left <= 0 {
		s.cold = false
	}
}
