package dgmember

import "time"

const (
	// Margin covers differences in clock rates and clocks that differ by up to
	// 250 ms.
	Margin = time.Second
	// PauseThreshold is the gap between two events above which the VM is taken to
	// have been paused (M6). Tick is due more often than that.
	PauseThreshold = time.Second
	// AgeUnit is the unit of ages in a contact vector.
	AgeUnit = 100 * time.Millisecond
	// BatchDelay is how long changes of the list are collected before a write.
	BatchDelay = 300 * time.Millisecond
	// RankStep is the additional wait of each next rank (L1).
	RankStep = time.Second

	renewJitterDivisor = 10 // a tenth of the renewal interval is random
	tickInterval       = 250 * time.Millisecond
	slowCallThreshold  = 500 * time.Millisecond // a call without a reply after this counts as failed
	initialRetryDelay  = 250 * time.Millisecond // bounds the random delay after the first failed renewal
	retryInterval      = time.Second            // between calls about suspects and writes of the list
	joinInterval       = time.Second            // between requests to be listed (J1)
	maxJoinAttempts    = 3
	smallFleetVMs      = 12    // largest fleet in which reports reach all VMs within 3 s
	maxUnlistedRank    = 3     // longest wait of a VM that is not listed, in units of RankStep
	maxPriorLists      = 8     // earlier lists that one list may name
	maxFormerMembers   = 10000 // ids of dropped members kept before all are discarded
	attemptsKept       = 8     // latest renewals that are recognized when they are read back

	ageUnknown  = 127  // also stands for ages above 12.6 s
	platformBit = 0x80 // the member reached the platform
)

// ContactWindow returns the contact window W for n VMs. With 24 to 90 VMs the ages
// in contact vectors reach 5 to 7 s. With a window of 3 s no VM in such a fleet would
// ever have heard from the same majority throughout 2 W, so that no member could be
// fenced (F1).
func ContactWindow(n int) time.Duration {
	if n <= smallFleetVMs {
		return 3 * time.Second
	}
	return 8 * time.Second
}

// RenewInterval returns the time between two lease renewals for n VMs. Above 12 VMs
// it is at least 4 s. At 2 s the TTL would be 6 s, and many leases would end before
// reports of an outage have reached a majority, so that M2 could not begin. Above 400
// VMs it grows with n, which keeps the fleet at about 100 renewals a second.
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
// suspected. Reports about a member take longer to arrive in a larger fleet.
func SuspectAfter(n int) time.Duration {
	if n <= smallFleetVMs {
		return 3 * time.Second
	}
	return 8 * time.Second
}
