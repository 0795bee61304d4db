package dggate

import "dandeliongap.example/dandeliongap"

// Gate is the admission control of one replica. The zero value holds no rights
// and refuses everything. It is not safe for concurrent use. Methods with a dst
// argument append their actions to dst and return it. After each event the
// driver calls Tick at the instant that Next returns.
type Gate struct{}

// Configure sets the replica's limits, at first and after each change of the
// configuration. Its consequences for the queue follow at the next event; Next
// returns an instant in the past until then.
func (g *Gate) Configure(r dandeliongap.Replica) {}

// Await reports that the placement row names this VM under epoch while former
// owners have not released the replica.
func (g *Gate) Await(now dandeliongap.Instant, epoch dandeliongap.Epoch) {}

// Grant begins the rights under epoch. RightsUntil must have been called, or
// requests stay refused with ReasonLease.
func (g *Gate) Grant(now dandeliongap.Instant, epoch dandeliongap.Epoch, h Handover, dst []Action) []Action {
	return dst
}

// Revoke ends the rights under every epoch up to epoch. Requests in flight
// finish.
func (g *Gate) Revoke(now dandeliongap.Instant, epoch dandeliongap.Epoch, dst []Action) []Action {
	return dst
}

// Drained reports that the gate holds no rights and nothing is in flight.
func (g *Gate) Drained() bool { return true }

// RightsUntil sets the end of the rights, from View.RightsEnd.
func (g *Gate) RightsUntil(end dandeliongap.Instant) {}

// SetZoneOut tells whether the replica's availability zone is taken out.
func (g *Gate) SetZoneOut(now dandeliongap.Instant, out bool, dst []Action) []Action { return dst }

// SetDraining reports the sign of the replica's health endpoint.
func (g *Gate) SetDraining(now dandeliongap.Instant, draining bool, dst []Action) []Action {
	return dst
}

// Offer submits a request. An id that is queued or in flight is ignored.
func (g *Gate) Offer(now dandeliongap.Instant, r Request, dst []Action) []Action { return dst }

// Done ends a dispatched request and frees its slot. Other ids are ignored.
func (g *Gate) Done(now dandeliongap.Instant, id dandeliongap.SubID, res Result, dst []Action) []Action {
	return dst
}

// Cancel ends a queued request or asks for the cancellation of one in flight.
// Other ids are ignored.
func (g *Gate) Cancel(now dandeliongap.Instant, id dandeliongap.SubID, dst []Action) []Action {
	return dst
}

// Tick acts on the time that passed.
func (g *Gate) Tick(now dandeliongap.Instant, dst []Action) []Action { return dst }

// Next returns the instant at which Tick must be called unless an event comes
// first; Never if there is none.
func (g *Gate) Next() dandeliongap.Instant { return Never }

// Mark returns what sub-answers tell the entry VM about the replica.
func (g *Gate) Mark() dandeliongap.Mark { return dandeliongap.Mark{} }

// State returns the state of the replica.
func (g *Gate) State() State { return NotHeld }

// Handover returns the state for the next owner.
func (g *Gate) Handover() Handover { return Handover{} }
