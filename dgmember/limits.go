package dgmember

import "time"

const (
	// Margin covers different rates of clocks and clocks that differ by 250 ms.
	Margin = time.Second
	// PauseThreshold is the gap between two events after which the VM was paused;
	// Tick is due more often.
	PauseThreshold = time.Second
	// AgeUnit is the unit of ages in a contact vector.
	AgeUnit = 100 * time.Millisecond
	// BatchDelay is the time for which changes of the list are collected.
	BatchDelay = 300 * time.Millisecond
	// RankStep is the time that each next rank waits longer (L1).
	RankStep = time.Second

	renewJitterDivisor = 10 // share of the renewal interval that is random, 1 in 10
	tickInterval       = 250 * time.Millisecond
	slowCallThreshold  = 500 * time.Millisecond // a call without answer counts as failed
	initialRetryDelay  = 250 * time.Millisecond
	retryInterval      = time.Second // failed calls about members
	joinInterval       = time.Second
	maxJoinAttempts    = 3
	smallFleetVMs      = 12    // VMs that hear of each other within 3 s
	maxUnlistedRank    = 3     // longest wait of a VM that is not listed, in steps of RankStep
	maxPriorLists      = 8     // earlier lists that one list may name
	maxFormerMembers   = 10000 // ids of dropped members that are remembered
	attemptsKept       = 8

	ageUnknown  = 127
	platformBit = 0x80
)

// ContactWindow returns the contact window W for n VMs. With 24 to 90 VMs the ages in
// contact vectors reach 5 to 7 s, so that with 3 s no VM would ever have heard
// from the same majority throughout and nobody could be fenced.
func ContactWindow(n int) time.Duration {
	if n <= smallFleetVMs {
		return 3 * time.Second
	}
	return 8 * time.Second
}

// RenewInterval returns the time between two lease renewals for n VMs. Above 12 VMs it
// is at least 4 s: with a TTL of 6 s many leases would end before the news of an
// outage have reached a majority, and M2 could not begin.
func RenewInterval(n int) time.Duration {
	minInterval := 2 * time.Second
	if n > smallFleetVMs {
		minInterval = 4 * time.Second
	}
	return max(minInterval, time.Duration(n)*time.Second/100)
}

// LeaseTTL returns how long a renewal is valid for n VMs.
func LeaseTTL(n int) time.Duration { return 3 * RenewInterval(n) }

// SuspectAfter returns the time without contact after which a member is
// suspected. News of a member take longer to arrive in a larger fleet.
func SuspectAfter(n int) time.Duration {
	if n <= smallFleetVMs {
		return 3 * time.Second
	}
	return 8 * time.Second
}
