package dgrollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// failureExcess and slowExcess are the excess shares of bad responses that the test
	// distinguishes from none (X8).
	failureExcess = 0.2
	slowExcess    = 0.25
	// minFailureShare and minSlowShare are the least shares that the old versions are taken
	// to have. Few responses without a bad one do not show that there are none.
	minFailureShare = 0.02
	minSlowShare    = 0.06
	maxOldShare     = 0.7

	// badEvidence is the evidence from which the target is bad: a likelihood ratio of 3,000,
	// as the evidence may rise from each of its lowest points.
	badEvidence = 8.0
	// suspectEvidence is the evidence from which the target may be bad: two bad responses with
	// hardly a good one between them.
	suspectEvidence = 4.5
	// ownBadEvidence is the same for the evidence of one VM, which has few responses of the
	// old versions to compare (X9).
	ownBadEvidence = 12.0
	// maxProof limits how much good responses can make up for later bad ones.
	maxProof = 6.0
	// routeBadEvidence is the evidence on one route from which the target is bad: three
	// failures and hardly a good response.
	routeBadEvidence = 7.0
	// maxRouteDoubt is the evidence against the target on one route up to which it counts as
	// proven: one bad response with two good ones.
	maxRouteDoubt = 2.0
	maxRouteProof = 3.0
	// A route with mainRoute of the responses of the old versions must have minTried responses
	// of the target before it counts as proven enough to get all requests.
	mainRoute = 0.1
	minTried  = 2
	// maxDoubt is the evidence against the target since its lowest point up to which it
	// counts as proven: that of one bad response with few good ones after it.
	maxDoubt = 2.0

	// oldHalfLife is the time in which the responses of the old versions lose half of their
	// weight in the comparison.
	oldHalfLife = 3 * time.Second
	// recentHalfLife is the same for a second estimate, which follows the begin of an
	// overload.
	recentHalfLife = time.Second
	// minOld is the weight of responses of the old versions on a route that a comparison
	// needs.
	minOld = 3.0
	// priorWeight is the weight of the estimate for a whole route in that for a zone, and of
	// that for the last seconds in that for a single evaluation.
	priorWeight = 4.0
	// pauseWindow is the time in which the slow responses of a replica count once over all
	// VMs (X7). It is longer than the pauses of healthy replicas, 250 ms, and the time over
	// which the counts of these responses arrive.
	pauseWindow = 500 * time.Millisecond
	// aloneAfter is the time without a response of the old versions from which the comparison
	// is one with the past.
	aloneAfter = 1500 * time.Millisecond
)

// aspect is what a response is tested for.
type aspect uint8

const (
	failing aspect = iota
	slowing
	aspectCount
)

var (
	excess   = [aspectCount]float64{failureExcess, slowExcess}
	minShare = [aspectCount]float64{minFailureShare, minSlowShare}
)

func (c Counts) of(a aspect) (n, bad float64) {
	if a == failing {
		return float64(c.Responses), float64(c.Failures)
	}
	return float64(c.Timed), float64(c.Slow)
}

// tally counts responses and the bad ones among them. Both lose weight with time.
type tally struct{ n, bad float64 }

// share estimates the share of bad responses, drawn towards a prior.
func (t tally) share(prior float64) float64 {
	return (t.bad + priorWeight*prior) / (t.n + priorWeight)
}

type place struct {
	route dandeliongap.RouteName
	zone  dandeliongap.ZoneName // "" for all
}

// tallies are the responses of the old versions by place.
type tallies map[place]*[aspectCount]tally

func (ts tallies) at(p place) *[aspectCount]tally {
	t := ts[p]
	if t == nil {
		t = new([aspectCount]tally)
		ts[p] = t
	}
	return t
}

func (ts tallies) add(k Key, c Counts) {
	for _, p := range []place{{}, {k.Route, ""}, {k.Route, k.Zone}} {
		t := ts.at(p)
		for a := range aspectCount {
			n, bad := c.of(a)
			t[a].n += n
			t[a].bad += bad
		}
	}
}

func (ts tallies) decay(factor float64) {
	for _, t := range ts {
		for a := range t {
			t[a].n *= factor
			t[a].bad *= factor
		}
	}
}

// Test compares the responses of the target with those of the old versions (X8). It is not
// safe for concurrent use.
type Test struct {
	last      map[Key]Counts                                   // taken in so far
	lastNew   map[dandeliongap.InstanceID]dandeliongap.Instant // last evidence of a replica of the target
	limit     float64                                          // evidence from which the target is bad
	old       tallies
	recent    tallies
	updatedAt dandeliongap.Instant
	oldAt     dandeliongap.Instant // last response of the old versions
	against   [aspectCount]float64 // evidence since its lowest point; high: bad
	total     [aspectCount]float64 // evidence; low: good
	routes    map[dandeliongap.RouteName]*routeEvidence
	bad       bool
}

// routeEvidence is the evidence on one route, as that of a Test.
type routeEvidence struct {
	against, total [aspectCount]float64
	tried          uint32 // responses of the target
}

// NewTest returns a test of a target that begins at the given time. Evidence from limit on
// means that the target is bad.
func NewTest(begin dandeliongap.Instant, limit float64) *Test {
	return &Test{
		limit: limit, recent: make(tallies),
		last: make(map[Key]Counts), lastNew: make(map[dandeliongap.InstanceID]dandeliongap.Instant), old: make(tallies),
		updatedAt: begin, oldAt: begin, routes: make(map[dandeliongap.RouteName]*routeEvidence),
	}
}

// Update takes in the counts of all VMs, added up by key.
func (t *Test) Update(now dandeliongap.Instant, rows map[Key]Counts) {
	took := now.Sub(t.updatedAt)
	begin := t.updatedAt
	t.updatedAt = now
	t.old.decay(math.Exp2(-float64(took) / float64(oldHalfLife)))
	t.recent.decay(math.Exp2(-float64(took) / float64(recentHalfLife)))
	window := make(tallies)
	keys := slices.SortedFunc(maps.Keys(rows), compareKeys)
	for _, k := range keys {
		c := rows[k]
		if delta, ok := t.delta(k, c); ok && !k.New {
			t.last[k] = c
			t.old.add(k, delta)
			t.recent.add(k, delta)
			window.add(k, delta)
			t.oldAt = now
		}
	}
	allowed := make(map[dandeliongap.InstanceID]uint32) // slow responses that still count (X7)
	for _, k := range keys {
		c := rows[k]
		delta, ok := t.delta(k, c)
		if !ok || !k.New || t.old.at(place{k.Route, ""})[failing].n < minOld {
			continue // without a comparison the responses wait for one
		}
		since, known := t.lastNew[k.Replica]
		if !known {
			since = begin
		}
		if _, known := allowed[k.Replica]; !known {
			allowed[k.Replica] = uint32(max(1, now.Sub(since)/pauseWindow))
		}
		t.last[k] = c
		slow := min(delta.Slow, allowed[k.Replica])
		allowed[k.Replica] -= slow
		delta.Timed -= delta.Slow - slow
		delta.Slow = slow
		t.judge(k, delta, window)
	}
	for replica := range allowed {
		t.lastNew[replica] = now
	}
	factor := 1.0
	if now.Sub(t.oldAt) > aloneAfter {
		factor = 2
	}
	for a := range aspectCount {
		t.bad = t.bad || t.against[a] >= factor*t.limit
		for _, r := range t.routes {
			t.bad = t.bad || r.against[a] >= factor*t.limit*routeBadEvidence/badEvidence
		}
	}
}

func (t *Test) delta(k Key, c Counts) (Counts, bool) {
	l := t.last[k]
	d := Counts{c.Responses - min(c.Responses, l.Responses), c.Failures - min(c.Failures, l.Failures), c.Timed - min(c.Timed, l.Timed), c.Slow - min(c.Slow, l.Slow)}
	return d, d != Counts{}
}

// judge adds the evidence of responses of the target.
func (t *Test) judge(k Key, c Counts, window tallies) {
	r := t.routes[k.Route]
	if r == nil {
		r = new(routeEvidence)
		t.routes[k.Route] = r
	}
	r.tried += c.Responses
	for a := range aspectCount {
		n, bad := c.of(a)
		p := t.oldShare(k, a, window)
		q := p + excess[a]
		e := bad*math.Log(q/p) + (n-bad)*math.Log((1-q)/(1-p))
		t.against[a] = max(0, t.against[a]+e)
		t.total[a] = max(-maxProof, t.total[a]+e)
		r.against[a] = max(0, r.against[a]+e)
		r.total[a] = max(-maxRouteProof, r.total[a]+e)
	}
}

// oldShare estimates the share of bad responses of the old versions at the place and time
// of a group: the largest of the estimates for the last seconds, for the last second and
// for this evaluation. The first lags behind an overload that has just begun, the others
// are more a matter of chance.
func (t *Test) oldShare(k Key, a aspect, window tallies) float64 {
	share := minShare[a]
	for _, ts := range []tallies{t.old, t.recent, window} {
		p := share
		for _, at := range []place{{}, {k.Route, ""}, {k.Route, k.Zone}} {
			p = ts.at(at)[a].share(p)
		}
		share = max(share, p)
	}
	return min(share, maxOldShare)
}

// Bad reports whether the target is bad.
func (t *Test) Bad() bool { return t.bad }

// Suspect reports whether the target may be bad.
func (t *Test) Suspect() bool {
	return t.against[failing] >= suspectEvidence || t.against[slowing] >= suspectEvidence
}

// Proven reports whether the evidence for the target has at least the given degree, and
// neither the last responses nor those of a route speak against it.
func (t *Test) Proven(degree float64) bool {
	for a := range aspectCount {
		if t.total[a] > -degree || t.against[a] > maxDoubt {
			return false
		}
	}
	for _, r := range t.routes {
		for a := range aspectCount {
			if r.total[a] > maxRouteDoubt {
				return false
			}
		}
	}
	return true
}

// Tried reports whether the target has responded on all routes that matter.
func (t *Test) Tried() bool {
	all := t.old.at(place{})[failing].n
	for p, old := range t.old {
		if p.route == "" || p.zone != "" || old[failing].n < mainRoute*all {
			continue
		}
		if r := t.routes[p.route]; r == nil || r.tried < minTried {
			return false
		}
	}
	return true
}

// Evidence returns the evidence for log lines: against the target since its lowest point,
// and in total, for failures and for slow responses.
func (t *Test) Evidence() (against, total [2]float64) { return t.against, t.total }
