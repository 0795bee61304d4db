// Package dgadmit decides which requests are refused before anything is sent, and
// when their callers may come back.
//
// Rules:
//
//	A1  A VM that knows no configuration or no replicas yet refuses for a moment; it
//	    never says that a route does not exist.
//	A2  A request without a route is refused for good, but by a VM whose store is
//	    away: a newer configuration may have the route.
//	A3  A VM about to end refuses at once, so that the caller has time for another.
//	A4  A request whose shards cannot reach the route's least coverage is refused at
//	    once. It answers the load of a service whose replicas are all down: nothing
//	    is sent that could not be used. The advice is longer if replicas are not only
//	    down but not there.
package dgadmit

import (
	"fmt"
	"net/http"
	"time"
)

// Refusal is the final answer to a request of which nothing was sent. The zero
// value refuses nothing.
type Refusal struct {
	Status     int
	Rule       string
	Reason     string
	Text       string
	RetryAfter time.Duration
}

const (
	// unreadyRetry is about the time that a VM takes to read the control state.
	unreadyRetry = 200 * time.Millisecond
	// unreadyMost bounds the advice in a long outage.
	unreadyMost = 2 * time.Second
	// leavingRetry lets the caller go to another VM at once.
	leavingRetry = time.Millisecond
	// downRetry is the time between two probes of replicas that are down.
	downRetry = 250 * time.Millisecond
	// noneRetry is about the time in which new replicas register.
	noneRetry = time.Second
)

// Unready refuses under A1. The store has not answered for the given time; an
// outage is expected to last about as long again as it has lasted.
func Unready(outage time.Duration) Refusal {
	retry := min(max(unreadyRetry, outage), unreadyMost)
	return Refusal{http.StatusServiceUnavailable, "A1", "Unready", "not run: no configuration yet", retry}
}

// NoRoute refuses under A2.
func NoRoute(storeAway bool) Refusal {
	if storeAway {
		return Refusal{http.StatusServiceUnavailable, "A2", "NoRouteStale", "not run: no such route in a configuration that may be out of date", unreadyRetry}
	}
	return Refusal{http.StatusNotFound, "A2", "NoRoute", "no such route", 0}
}

// Leaving refuses under A3.
func Leaving() Refusal {
	return Refusal{http.StatusServiceUnavailable, "A3", "Leaving", "not run: this VM is leaving", leavingRetry}
}

// CheckCoverage refuses under A4 if fewer shards are usable than the route needs. down
// more have replicas that may answer again soon.
func CheckCoverage(usable, down, total int, least float64) Refusal {
	reaches := func(n int) bool { return n > 0 && float64(n) >= least*float64(total) }
	if reaches(usable) {
		return Refusal{}
	}
	retry := noneRetry
	if reaches(usable + down) {
		retry = downRetry
	}
	return Refusal{
		http.StatusServiceUnavailable, "A4", "NoReplica",
		fmt.Sprintf("not run: %d of %d services have a usable replica, %d more are down", usable, total, down), retry,
	}
}

// Invalid refuses a request that breaks the protocol.
func Invalid(text string) Refusal {
	return Refusal{http.StatusBadRequest, "A0", "Invalid", text, 0}
}

// TooLarge refuses a body above the configured limit.
func TooLarge(limit int) Refusal {
	return Refusal{http.StatusRequestEntityTooLarge, "A0", "TooLarge", fmt.Sprintf("body above %d bytes", limit), 0}
}

// HeaderTooLarge refuses headers above the configured limit.
func HeaderTooLarge(limit int) Refusal {
	return Refusal{http.StatusRequestHeaderFieldsTooLarge, "A0", "HeaderTooLarge", fmt.Sprintf("headers above %d bytes", limit), 0}
}
