// Package dgfanout plans how one query fans out from its entry VM to the
// replicas of its shards: which index snapshot it uses, which replica gets each
// sub-request, when to hedge and retry, and which coverage and outcome the caller
// gets. The package starts no goroutine, reads no clock and takes no lock. A
// driver passes in the time, the view, a random source and events, and carries
// out the actions that the Planner returns.
//
// Rules. Each action names the rule that led to it.
//
//	R1  Admission: a query is refused as not run if the VM is not serving, the
//	    service does not exist or the deadline has passed.
//	R2  Snapshot: a query uses one snapshot, chosen before the fan-out: the
//	    newest live one that was not reported gone in the last second. A group
//	    without a catalog entry has one implicit snapshot of version 0.
//	R3  Choice: the expected wait of a replica is (own outstanding + queued + 1)
//	    x recent latency / limit. A replica in the VM's own availability zone is
//	    used if its wait is at most the lowest wait elsewhere plus the distance of
//	    that zone, which is its learned extra latency. Among the remaining replicas
//	    one is drawn at random with the weight wait^-4, so that VMs with the same
//	    outdated loads do not all pick the same replica.
//	R4  Probing: a replica that has not answered this VM in the last 10 s is
//	    unknown and gets one request at a time while a known one is usable. After a
//	    failed connection a replica is avoided for 100 ms, doubled on each further
//	    failure up to 5 s, and then probed with one sub-request. After three late
//	    attempts without any answer a replica is unresponsive: for the same
//	    back-off times it is used only if no other one is usable.
//	R5  Avoidance: a replica gets no attempt while it is leaving or draining, its
//	    zone is taken out, its placement row has no owner, its owner is not a
//	    member, it does not hold the index version, or it has refused a request of
//	    the same or a more urgent class and the wait that it asked for is not over.
//	R6  Hedging: a search sends a second attempt when the first has no answer
//	    after the learned delay of the leaf service, and a third when the second
//	    is late as well. The second goes to another replica, or to the same one if
//	    no other may be used; the third may go to either. When one is answered, the
//	    others are cancelled. No hedge is sent while the leaf is overloaded. If the
//	    expected wait of the hedge exceeds twice the delay, it is sent only if the
//	    late attempt is known to be running: its replica has answered an attempt
//	    of the same or a less urgent class that was sent later.
//	R7  Retry: a failed attempt is repeated at another replica, with at most 3
//	    attempts for each shard, and not while the leaf is overloaded.
//	R8  Budget: hedges and retries of all queries take tokens from one bucket. Each
//	    other sub-request sent adds a fraction of a token. Hedges leave two tokens
//	    for retries. Below six tokens they wait for twice the delay, unless the late
//	    attempt is known to be running.
//	R9  Version gone: if no replica of a shard holds the snapshot, the whole query
//	    is tried once more with another live snapshot. This second try takes no
//	    tokens (R8), because it happens only until R2 knows that the version is
//	    gone. The result comes from the try with the higher coverage.
//	R10 Merge: an answer counts if it belongs to an open attempt, names the
//	    attempt's replica and the query's index version, can be parsed, and lists
//	    only parts of its shard. Each part counts once.
//	R11 Deadline: the query finishes a margin before its deadline with the parts
//	    that it has merged by then.
//	R12 Completion: the query finishes when no shard is pending.
//	R13 Coverage: the query finishes as soon as the required coverage can no
//	    longer be reached. If this is known at the start, nothing is sent.
//	R14 Action: a request that may not be repeated goes to one leaf, chosen by the
//	    hash of its key, with one attempt at a time and without hedges. Another
//	    attempt is made only if the one before was refused as not run.
//	R15 Disconnect: if the caller disconnects, every open attempt is cancelled.
//	R16 Baseline: the baseline policy picks a random replica, waits for a fixed
//	    timeout, and neither hedges nor retries.
//	R17 Throttle: a share of the searches of a group and class is refused as not
//	    run while overload cuts off more than a small share of their parts, or
//	    while their shards spend more than a given share of the time in queues on
//	    average. Owners refuse requests independently of each other. Without this
//	    rule, nearly every search under overload would get most of its shards and
//	    none would get all. One overloaded shard among many leads to partial
//	    answers, not to refusals. While the rule refuses searches, no search of the
//	    group and class is hedged.
//	R18 Owner change: if the only usable replica of a shard refused an attempt
//	    because its owner changes, the shard waits up to 80 ms for the view to
//	    name the new owner. The refused attempt did not reach a backend server, so
//	    the next one takes no token (R8).
//
// Outcome: a query without the required coverage is "not run" only if every
// attempt that it sent was refused as not run. Otherwise it is "unknown".
package dgfanout
