package dgsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of step.
type Kind uint8

// Kinds of steps: first those of VMs and the store, then those of backend servers, then
// those of operators.
const (
	KillVM          Kind = iota // and start it again
	StopVM                      // as planned, and start it again
	PauseVM                     // and let it go on
	ReloadVM                    // its settings file changes
	KillAll                     // all VMs at once
	FaultStore                  // for all VMs
	ForgetHistory               // of the store
	CutStore                    // for one VM: its connections to the store fall silent, new ones too
	ResetStore                  // for one VM: its connections to the store are reset
	DelayCallers                // bytes between callers and one VM are late
	ResetCallers                // connections between callers and one VM
	SilenceAnswers              // bytes from one VM to callers are held up
	CutPeers                    // the paths from other VMs to one VM fall silent
	LosePeers                   // half of the heartbeats on these paths are lost
	FaultServer                 // one backend server
	FaultService                // all backend servers of a service
	CutServer                   // the path to one backend server falls silent
	ResetServer                 // the connections to one backend server are reset
	ThrottleServer              // the path to one backend server is slow
	CrashServer                 // and start it again at the same address, as another instance
	DrainServer                 // it is replaced
	VanishServer                // as DrainServer, but its registration is removed at once
	LeaveServer                 // it says that it leaves in its responses alone
	ReuseAddress                // of a server that is gone, by a server of another service
	TakeOutZone                 // and return it
	ChangeConfig                // requests go to another service
	StormConfig                 // several changes in quick succession
	Reshard                     // the index has another set of shards
	WriteOddEntries             // among the registrations
	RestoreStore                // from a copy that is some seconds old
	RemoveKey                   // of an account, whose callers go on sending it for a while
	AddKey                      // to an account, whose callers send it at once
	HeatAccount                 // its callers send several times its rate
	LowerLimit                  // of an account, far below what its callers send, and return it
	OrderGood                   // the traffic of a service moves to a version
	OrderBad                    // the same, to a version of which many responses fail
	OrderWithdrawn              // the same as OrderGood, but the order is removed before its deadline
	StartUnordered              // a backend server of a version that nobody orders
	kinds                       // number of kinds

	lastVMKind     = LosePeers
	lastServerKind = ReuseAddress
)

var kindNames = [kinds]string{
	"kill VM", "stop VM", "pause VM", "reload VM", "kill all VMs", "faulty store", "store forgets history", "store cut off", "store connections reset",
	"callers delayed", "caller connections reset", "answers silenced", "VM cut off from others", "heartbeats lost", "faulty server", "faulty service", "server cut off", "server connections reset",
	"server throttled", "server crash", "server drained", "server vanishes", "server leaves", "address reused", "zone taken out", "configuration change",
	"configuration storm", "new set of shards", "odd entries", "store restored", "key removed", "key added", "hot account", "limit lowered", "good version ordered", "bad version ordered", "order withdrawn", "unordered version",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Step is a fault or a planned change.
type Step struct {
	Kind    Kind
	At      time.Duration // since the first request
	For     time.Duration // for kinds that end
	Target  uint32        // selects the VM, server, zone or account
	Variant uint32        // selects the fault of the store or of a server
}

// String describes the step.
func (s Step) String() string {
	return fmt.Sprintf("%.1f s %s for %.1f s, target %d, variant %d", s.At.Seconds(), s.Kind, s.For.Seconds(), s.Target, s.Variant)
}

const (
	// stepInterval is the mean time between two steps. Most last longer, so that they
	// overlap.
	stepInterval = 900 * time.Millisecond
	// firstStep is the time for which the tier serves before the first step.
	firstStep = 2 * time.Second
	// shortestStep and longestStep limit Step.For.
	shortestStep, longestStep = 300 * time.Millisecond, 5 * time.Second
)

// Draw returns the steps of a soak of a length, in order of time.
func Draw(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []Step
	for range int(length / stepInterval) {
		out = append(out, Step{
			Kind:    Kind(rng.IntN(int(RestoreStore))),
			At:      firstStep + time.Duration(rng.Int64N(int64(max(1, length-firstStep)))),
			For:     shortestStep + time.Duration(rng.Int64N(int64(longestStep-shortestStep))),
			Target:  rng.Uint32(),
			Variant: rng.Uint32(),
		})
	}
	out = append(out, drawRestores(seed, length)...)
	out = append(out, drawAccounts(seed, length)...)
	out = append(out, drawRollouts(seed, length)...)
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Three of restoreSeeds seeds restore the store. The others show that nothing depends on a
// store that numbers its eras.
const restoreSeeds = 4

// drawRestores returns the steps of the kind RestoreStore. They have a source of their own, so
// that the other steps of a seed stay as they were before this kind existed.
func drawRestores(seed uint64, length time.Duration) (out []Step) {
	if seed%restoreSeeds == 0 || length <= firstStep {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	for range 1 + rng.IntN(2) {
		out = append(out, Step{
			Kind: RestoreStore, At: firstStep + time.Duration(rng.Int64N(int64(length-firstStep))),
			For: shortestStep + time.Duration(rng.Int64N(int64(longestStep-shortestStep))), Variant: rng.Uint32(),
		})
	}
	return out
}

// Four of accountSeeds seeds have accounts. The others show that nothing changes without them.
const accountSeeds = 5

// accountInterval is the mean time between two steps of accounts.
const accountInterval = 4 * time.Second

// HasAccounts reports whether the configurations of a seed have accounts.
func HasAccounts(seed uint64) bool { return seed%accountSeeds != 0 }

// drawAccounts returns the steps of accounts, from a source of their own like those of
// drawRestores.
func drawAccounts(seed uint64, length time.Duration) (out []Step) {
	if !HasAccounts(seed) || length <= firstStep {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 2<<32))
	for range int(length / accountInterval) {
		out = append(out, Step{
			Kind: RemoveKey + Kind(rng.IntN(int(LowerLimit-RemoveKey)+1)), At: firstStep + time.Duration(rng.Int64N(int64(length-firstStep))),
			For: shortestStep + time.Duration(rng.Int64N(int64(longestStep-shortestStep))), Target: rng.Uint32(),
		})
	}
	return out
}

// Two of rolloutSeeds seeds have rollouts. The others show that nothing changes without them.
const rolloutSeeds = 3

// lastOrder limits the times of the steps of rollouts, which take longer than others. Those
// that begin last are completed when most faults are over, so that K24 applies.
const lastOrder = 10 * time.Second

// HasRollouts reports whether the versions of backend servers change in a seed.
func HasRollouts(seed uint64) bool { return seed%rolloutSeeds != 0 }

// drawRollouts returns the steps of rollouts, from a source of their own like those of
// drawRestores.
func drawRollouts(seed uint64, length time.Duration) (out []Step) {
	if !HasRollouts(seed) || length <= firstStep {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 3<<32))
	for range 2 + rng.IntN(3) {
		out = append(out, Step{
			Kind: OrderGood + Kind(rng.IntN(int(StartUnordered-OrderGood)+1)), At: firstStep + time.Duration(rng.Int64N(int64(min(length, lastOrder)-firstStep))),
			For: shortestStep + time.Duration(rng.Int64N(int64(longestStep-shortestStep))), Target: rng.Uint32(), Variant: rng.Uint32(),
		})
	}
	return out
}

// storeFault returns the fault of the store that the step selects.
func (s Step) storeFault() StoreFault { return StoreFault(1 + s.Variant%uint32(storeFaults-1)) }

// serverFault returns the fault of a server that the step selects.
func (s Step) serverFault() ServerFault { return ServerFault(1 + s.Variant%uint32(serverFaults-1)) }
