package dgmemory

// SubRequestBytes is the memory of a sub-request (M9): its goroutine, the buffers of its
// connection and a short response.
const SubRequestBytes = 16 << 10

const (
	// searchShare is the share of the descriptors up to which requests with several shards
	// may take places (M10).
	searchShare = 0.75
	// ownSockets is more than the VM has for its listeners and its calls to the store and to
	// other VMs.
	ownSockets = 32
	// minShared is the divisor for the least share of the descriptors that callers and
	// backend servers have, and for the largest that the VM's own calls have.
	minShared = 8
)

// PlaceBytes returns what n places hold.
func PlaceBytes(n int64) int64 { return n * SubRequestBytes }

// Sockets divides descriptors between connections of callers and places (M10). Its zero value
// has no limit.
type Sockets struct{ shared int64 }

// NewSockets returns Sockets for a number of descriptors; 0 means no limit.
func NewSockets(shared int64) Sockets { return Sockets{shared} }

// MissingForConn returns the number of connections of callers to end before another one may
// open. conns are open, and places are taken.
func (s Sockets) MissingForConn(conns, places int64) int64 { return s.missing(conns + 1 + places) }

// MissingForPlaces returns the same before n more places may be taken. ok is false if they may
// not, whatever ends.
func (s Sockets) MissingForPlaces(n, conns, places int64) (missing int64, ok bool) {
	if s.shared > 0 && places > 0 && n > 1 && float64(places+n) > searchShare*float64(s.shared) {
		return 0, false
	}
	return s.missing(conns + places + n), true
}

// missing returns 0 or, so that looking for connections to end stays rare, at least freeShare.
func (s Sockets) missing(want int64) int64 {
	over := want - s.shared
	if s.shared <= 0 || over <= 0 {
		return 0
	}
	return max(over, int64(freeShare*float64(s.shared)))
}

// ExcessIdle returns the number of idle connections to backend servers to close. conns are
// those of callers, and backends all to backend servers.
func (s Sockets) ExcessIdle(conns, backends int64) int64 { return s.missing(conns + backends) }
