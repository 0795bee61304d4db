package dgadmit

import "time"

const (
	// directoryTTLFactor is the multiple of the directory's TTL for which some callers
	// keep an answer.
	directoryTTLFactor = 3
	// maxOpenShare bounds the time in which a stop accepts every request, as a share of
	// its limit. The last of these requests have the other half to end.
	maxOpenShare = 0.5
	// answerShare is the share of the limit after which no request is in progress any
	// more. The rest is for writing the last responses on a VM with a slow processor.
	answerShare = 0.95
	// receiveShare is the share of the limit for which a stop waits for callers to receive
	// their responses. The rest is for the log.
	receiveShare = 0.975
	// minShare is the share of the limit for which a stop lasts at least, because callers
	// may still use the address.
	minShare = 0.53
	// minIdle is the time without a request in progress after which a stop may end.
	minIdle = 450 * time.Millisecond
	// LingerTime is how long a connection stays after its last response at most, also while
	// the VM does not stop.
	LingerTime = time.Second
)

// Stop is the schedule of a planned stop (A3, A6, A9, A10). All times count from its begin. The
// zero value is a stop without any time.
type Stop struct {
	Limit        time.Duration // until the process is killed
	DirectoryTTL time.Duration // of the answers that callers got before the stop
}

// OpenUntil returns the time until which every request is accepted.
func (s Stop) OpenUntil() time.Duration {
	return min(directoryTTLFactor*s.DirectoryTTL, s.share(maxOpenShare))
}

// AnswerBy returns the time at which requests that are still in progress are ended.
func (s Stop) AnswerBy() time.Duration { return s.share(answerShare) }

// ReceiveBy returns the time until which the process waits for callers that have not received
// the whole of their responses.
func (s Stop) ReceiveBy() time.Duration { return s.share(receiveShare) }

func (s Stop) share(f float64) time.Duration { return time.Duration(f * float64(s.Limit)) }

// Admit refuses a request under A3. The request arrives since after the begin of the stop,
// and its deadline passes left later.
func (s Stop) Admit(since, left time.Duration) Refusal {
	if since <= s.OpenUntil() || since+left <= s.AnswerBy() {
		return Refusal{}
	}
	return Leaving()
}

// MayEnd reports whether the stop may end under A9, since after its begin. No request has been
// in progress for idle.
func (s Stop) MayEnd(since, idle time.Duration) bool {
	return since > s.share(minShare) && idle >= minIdle
}

// ConnState is what a connection of a caller waits for.
type ConnState uint8

// States of a connection of a caller.
const (
	ConnUnused    ConnState = iota // the first byte of a request
	ConnReceiving                  // a further request, or the rest of one
	ConnAnswering                  // the response to a request in progress, or the rest of it
	ConnLingering                  // the caller, after the last response
)

// Closes reports whether a VM that ends closes a connection under A10, since after the begin of
// the stop.
func (s Stop) Closes(c ConnState, since time.Duration) bool {
	switch c {
	case ConnUnused:
		return true
	case ConnReceiving:
		return since >= s.AnswerBy()
	case ConnLingering:
		return since >= s.ReceiveBy()
	}
	return false
}
