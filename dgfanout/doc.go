// Package dgfanout decides one query on its entry VM: snapshot, replicas,
// hedges, retries, coverage and outcome. It has no goroutine, clock or lock; a
// driver passes the time, the view, a random source and events, and carries out
// the actions that it gets back.
//
// Rules. Each action names the rule that led to it.
//
//	R1  Admission: a query is not run if the VM does not serve, the service does
//	    not exist or the deadline has passed.
//	R2  Snapshot: a query uses one snapshot, chosen before the fan-out: the
//	    newest live one that was not reported gone in the last second. A group
//	    without a catalog entry has one implicit snapshot of version 0.
//	R3  Choice: the expected wait of a replica is (own outstanding + queued + 1)
//	    x recent latency / limit. A replica in the VM's own zone is taken if its
//	    wait is at most the lowest wait elsewhere plus the learned distance of
//	    that zone. Among those that remain, one is drawn with the weight wait^-4,
//	    so that VMs with equal, outdated marks do not all pick the same replica.
//	R4  Trial: a replica that did not answer this VM within 10 s gets one request
//	    at a time while a known one is usable. A replica with a failed connection is
//	    avoided for 100 ms, doubled on each further failure up to 5 s, and then
//	    probed by one sub-request. One that left three late attempts without any
//	    answer is used, for the same times, only if no other one is usable.
//	R5  Avoidance: a replica gets nothing while it leaves or drains, its zone is
//	    taken out, its placement row has no owner, its owner is not a member, it
//	    does not hold the index version, or its refusal of this class or a more
//	    urgent one asked to wait.
//	R6  Hedge: a search sends a second attempt to another replica when the first
//	    is later than the learned delay of the leaf service, or to the same one
//	    if it is the only one that may be used, and a third attempt to either
//	    when the second is late too. The losers are cancelled. None while the
//	    leaf is overloaded. If the expected wait of the next attempt is over
//	    twice the delay, only an attempt that runs is hedged: its replica has
//	    answered one of the same or a less urgent class that was sent later.
//	R7  Retry: a failed attempt is repeated at another replica, at most 3
//	    attempts for each shard, none while the leaf is overloaded.
//	R8  Budget: hedges and retries of all queries take tokens from one bucket,
//	    filled with a share of the other sub-requests sent. Hedges leave two
//	    tokens for retries, and below six tokens they wait for twice the delay
//	    unless the attempt is known to run.
//	R9  Version gone: if no replica of a shard holds the snapshot, the whole
//	    query is tried once more with another live snapshot. That try is outside
//	    of R8: it happens only until R2 knows that the version is gone.
//	    The result comes from the try with the higher coverage.
//	R10 Merge: an answer counts if it belongs to an open attempt, names the
//	    attempt's replica and the query's index version, parses, and lists only
//	    parts of its shard. Each part counts once.
//	R11 Deadline: the query finishes a margin before its deadline with what it
//	    has.
//	R12 Completion: the query finishes when no shard is pending.
//	R13 Coverage: the query finishes as soon as the coverage that it needs is
//	    out of reach; if this is known at the start, it sends nothing.
//	R14 Action: a request that may not be repeated goes to one leaf chosen by
//	    the hash of its key, one attempt at a time, without hedge. A further
//	    attempt needs the refusal of the one before as not run.
//	R15 Hang-up: if the caller disconnects, every open attempt is cancelled.
//	R16 Plain: the baseline policy picks a random replica, waits for a fixed
//	    timeout, and neither hedges nor retries.
//	R17 Throttle: a share of the searches of a group and class is not run while
//	    overload cuts off more of their parts than a few, or while their shards
//	    wait in queues for more than a share of their time on average. The owners
//	    refuse independently of each other: without this rule nearly every search
//	    under overload gets most of its shards and none gets all. One overloaded
//	    shard of many leads to partial answers, not to refusals. While the rule
//	    refuses searches, none of the group and class is hedged.
//	R18 Move: if the only usable replica of a shard was refused because its
//	    owner changes, the shard waits for the view to name the new owner, up
//	    to 80 ms. The refused attempt reached no backend server, so the next one
//	    is outside of R8.
//
// Outcome: a query without the required coverage is "not run" only if every
// attempt that it sent was refused as not run; otherwise it is "unknown".
package dgfanout
