package dgadmit

import "time"

const (
	// directoryTTLFactor is the multiple of the directory's TTL for which some callers
	// keep an answer.
	directoryTTLFactor = 3
	// maxOpenShare bounds the time in which a stop accepts every request, as a share of
	// its limit. Requests that last longer than the other half are rare.
	maxOpenShare = 0.5
	// answerShare is the share of the limit after which no request is in progress any
	// more. The rest is for writing the last responses on a VM with a slow processor.
	answerShare = 0.95
	// receiveShare is the share of the limit for which a stop waits for callers to receive
	// their responses. The rest is for the log.
	receiveShare = 0.975
)

// Stop is the schedule of a planned stop (A3, A6). All times count from its begin.
type Stop struct {
	Limit        time.Duration // until the process is killed
	DirectoryTTL time.Duration // of the answers that callers got before the stop
}

// OpenUntil returns the time until which every request is accepted.
func (s Stop) OpenUntil() time.Duration {
	return min(directoryTTLFactor*s.DirectoryTTL, time.Duration(maxOpenShare*float64(s.Limit)))
}

// AnswerBy returns the time at which requests that are still in progress are ended.
func (s Stop) AnswerBy() time.Duration { return time.Duration(answerShare * float64(s.Limit)) }

// ReceiveBy returns the time until which the process waits for callers that have not received
// the whole of their responses.
func (s Stop) ReceiveBy() time.Duration { return time.Duration(receiveShare * float64(s.Limit)) }

// Admit refuses a request under A3. The request arrives since after the begin of the stop,
// and its deadline passes left later.
func (s Stop) Admit(since, left time.Duration) Refusal {
	if since <= s.OpenUntil() || since+left <= s.AnswerBy() {
		return Refusal{}
	}
	return Leaving()
}
