// Package dgfanout plans how one query fans out from its entry VM to the
// replicas of its shards: which index snapshot it uses, which replica gets each
// sub-request, when to hedge and retry, and which coverage and outcome the caller
// gets. The package starts no goroutine, reads no clock and takes no lock. A
// driver passes in the time, the view, a random source and events, and carries
// out the actions that the Planner returns.
//
// Rules. Each Action names the rule that led to it. In the rules an action is a
// request that must not run twice (Request.NonIdempotent), as in the rest of the
// system; the type Action is a step for the driver.
//
//	R1  Admission: a query is refused as not run if the VM is not serving, the
//	    service does not exist, has no leaf or does not accept actions, or the
//	    deadline has passed.
//	R2  Snapshot: a query uses one snapshot, chosen before the fan-out: the
//	    newest live one, as listed in the catalog, that was not reported gone in
//	    the last second, or the newest one if all were. A group without a catalog
//	    entry has one implicit snapshot of version 0.
//	R3  Choice: the expected wait of a replica is (outstanding sub-requests of
//	    this VM + queue length + 1) x recent latency / limit. Only replicas in the
//	    VM's own availability zone are considered, unless the wait of a replica in
//	    another zone is lower than the lowest wait in the own zone by more than
//	    the distance, which is how much longer answers from that zone take. Among
//	    the replicas considered, one is drawn at random with the weight wait^-4,
//	    so that VMs with the same outdated loads do not all pick the same replica.
//	R4  Probing: a replica that has not answered this VM in the last 10 s is
//	    unknown and gets one request at a time while another one is usable. After
//	    a failed connection a replica is avoided for 100 ms, doubled on each
//	    further failure up to 5 s, and then probed with one sub-request. After
//	    three late attempts without any answer a replica is unresponsive: for the
//	    same back-off times it is used only if no other one is usable.
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
//	    late attempt is assumed to be running: its replica has answered an attempt
//	    of the same or a less urgent class that was sent later.
//	R7  Retry: a failed attempt is repeated at another replica, with at most 3
//	    attempts for each shard, and not while the leaf is overloaded.
//	R8  Budget: each hedge or retry takes a token from a bucket that all queries
//	    share. Each attempt at the start of a query adds a fraction of a token,
//	    unless the query uses the baseline policy. Hedges leave two tokens for
//	    retries. With fewer than six tokens, a hedge is sent only when the late
//	    attempt has been open for twice the delay or is assumed to be running (R6).
//	R9  Version gone: if no replica of a shard holds the snapshot, the whole query
//	    is tried once more with another live snapshot. This second try takes no
//	    tokens (R8): second tries are few, because R2 avoids the version as soon as
//	    it is reported gone. The result comes from the try with the higher coverage.
//	R10 Merge: an answer counts if it belongs to an open attempt, names the
//	    attempt's replica and the query's index version, can be parsed, and lists
//	    only parts of its shard. Each part counts once.
//	R11 Deadline: the query finishes a margin before its deadline with the parts
//	    that it has merged by then.
//	R12 Completion: the query finishes when no shard is pending, that is, when no
//	    shard has an open attempt or waits for one.
//	R13 Coverage: the query finishes as soon as the required coverage can no
//	    longer be reached. If this is known at the start, nothing is sent.
//	R14 Action: an action goes to one leaf, chosen by the hash of its key, with one
//	    attempt at a time and without hedges. Another attempt is made only if the
//	    one before was refused as not run.
//	R15 Disconnect: if the caller disconnects, every open attempt is cancelled.
//	R16 Baseline: the baseline policy picks a random replica, waits for a fixed
//	    timeout, and neither hedges nor retries.
//	R17 Throttle: a share of the searches of a group and class is refused as not
//	    run while more than a small share of their parts is missing because of
//	    overload, or while their shards spend on average more than a given share of
//	    the time in queues. Without this rule, nearly every search under overload
//	    would get most of its shards and none would get all, because owners refuse
//	    requests independently of each other. One overloaded shard among many leads
//	    to partial answers, not to refusals. While the rule refuses searches, no
//	    search of the group and class is hedged.
//	R18 Owner change: if the only usable replica of a shard refused an attempt
//	    because its owner changes, the shard waits up to 80 ms for the view to
//	    name the new owner. The refused attempt did not reach a backend server, so
//	    the next one takes no token (R8).
//
// Outcome: a query without the required coverage is "not run" only if every
// attempt that it sent was refused as not run. Otherwise it is "unknown".
package dgfanout
