package dgcapacity

import "time"

// Target is the scale for which the design page gives limits.
const (
	TargetMembers  = 610
	TargetReplicas = 2500
	TargetShards   = 650
	// TargetQueries is the number of queries a second of the whole fleet.
	TargetQueries = 120000
	// TargetChanges is the number of configuration changes a day.
	TargetChanges = 1800
	// TargetMemberChanges is the number of VMs that are replaced, restarted or
	// fail in a day.
	TargetMemberChanges = 980
)

// Budgets of one VM for control, from the design page.
const (
	BudgetBytes       = 5000 // bytes per second
	BudgetCore        = 4.2  // percent of a core
	BudgetMemory      = 128  // megabytes
	BudgetPlatform    = 1    // platform calls per second of an idle VM
	BudgetSubRequest  = 15   // microseconds on the entry VM
	BudgetInForce     = 2    // seconds at 6 members
	BudgetInForceLoss = 3    // seconds at 6 members with a third of the exchanges failing
	BudgetLarge       = 8    // seconds at 610 members
)

// HTTP headers of one twirp call, in bytes, as net/http writes them. A test
// compares them with a call of the generated client and server.
const (
	RequestHeaderBytes = 244
	ReplyHeaderBytes   = 113
)

const secondsPerDay = 86400

// Options chooses what is measured. The zero value is the full run.
type Options struct {
	// Members are the sizes of the fleet; the number of replicas follows from
	// Replicas. Default: 6, 50, 100, 200, 610.
	Members []int
	// Shards are the sizes of the fan-out. Default: 20 to 650.
	Shards []int
	// Batch are the numbers of items in one message. Default: 1 to 512.
	Batch []int
	// Idle is the virtual time over which idle VMs are measured. Default 60 s:
	// the longest time between two calls of one kind is 45 s.
	Idle time.Duration
	// Changes is the number of configuration changes of which the time until
	// they are in force is measured, for each size and failure rate. Up to 50 members it is ten times
	// as many. Default 3.
	Changes int
	// Timing is the least processor time of one timed piece of work. Default
	// 100 ms.
	Timing time.Duration
	// Quick replaces the defaults by those of a run of a few seconds.
	Quick bool
	// Seed of all random choices. The counts of a run depend on nothing else.
	Seed uint64
}

func (o Options) withDefaults() Options {
	members, shards, batch := []int{6, 50, 100, 200, 610}, []int{20, 50, 100, 200, 400, 650}, []int{1, 2, 8, 64, 512}
	idle, changes, timing := 60*time.Second, 3, 100*time.Millisecond
	if o.Quick {
		members, shards, batch = []int{6, 12, 24}, []int{20, 100}, []int{1, 8, 64}
		idle, changes, timing = 60*time.Second, 1, 5*time.Millisecond
	}
	if len(o.Members) == 0 {
		o.Members = members
	}
	if len(o.Shards) == 0 {
		o.Shards = shards
	}
	if len(o.Batch) == 0 {
		o.Batch = batch
	}
	if o.Idle == 0 {
		o.Idle = idle
	}
	if o.Changes == 0 {
		o.Changes = changes
	}
	if o.Timing == 0 {
		o.Timing = timing
	}
	return o
}

// Replicas returns the number of replicas of a fleet of n members: 114 at 6 and
// 2,500 at 610 members, in proportion between them.
func Replicas(n int) int {
	const least, leastMembers = 114, 6
	return least + (n-leastMembers)*(TargetReplicas-least)/(TargetMembers-leastMembers)
}
