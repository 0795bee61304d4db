// Package dgtrial measures the decisions of the request path on a virtual clock.
// It runs the production code of one dgfanout.Planner per entry VM and of one
// dggate.Gate per replica between open-loop callers and fake backend servers. The
// regular policy of the planner is called the chosen policy; it is compared with
// the baseline policy (dgfanout rule R16) on the same seed. The package has no
// goroutine, clock or network connection.
//
// The baseline replaces the decisions of the entry VM only. Its gates are the
// same, because without them the fake servers would receive more requests than
// slots and the comparison would measure the gates.
//
// Model.
//
//	T1  Each replica is owned by a VM of its zone, assigned round-robin among
//	    the VMs of the zone, or among all VMs if the zone has none. Owners do not
//	    change during a run.
//	T2  A message takes no time inside a VM, HopDelay inside a zone and the zone
//	    delay between zones, each plus up to JitterShare. Messages between two
//	    VMs can overtake each other. New connections take no time.
//	T3  Service times are lognormal with mean ServiceMean; their logarithm has
//	    the standard deviation ServiceSigma. A straggler takes StragglerFactor
//	    times as long.
//	T4  A cold server takes ColdFactor times as long, or OverColdFactor times for
//	    a request that comes while ColdLimit requests run, and sheds a request
//	    that comes while more than that run. It is warm after WarmAnswers
//	    answers to requests within the limit. Its answers carry the cold mark.
//	T5  A lost server fails all running and all later requests with a connection
//	    error, or, if it is silent, gives no answer; the owner then waits until
//	    the deadline.
//	T6  A cancelled request frees its slot when the cancellation reaches the
//	    server.
//	T7  Arrivals are a Poisson process that does not wait for answers. Each goes
//	    to a random entry VM. Urgent searches are UrgentShare of them and archive
//	    searches ArchiveShare; archive searches have ArchiveDeadlineFactor times the
//	    deadline of the service.
//	T8  When a zone is taken out or returned, the view of each VM changes after a
//	    random time up to MaxViewDelay. Callers stop or resume using the VMs of
//	    the zone after CallerDelay. The servers of the zone return cold.
//
// Quantities.
//
//   - Capacity, in searches per second: the lowest number of slots of any leaf
//     of the group, divided by the mean service time. A search sends one
//     sub-request to each leaf, so this is slots / mean service time /
//     sub-requests per search when all leaves have equal numbers of slots.
//   - Load: offered searches per second as a share of the capacity. Stragglers,
//     hedges and retries are not included.
//   - Latency of a search: from its arrival at the entry VM to its Finish
//     action. A search that ends without an answer counts with its deadline, or
//     with its actual time if that is longer. Quantiles leave out searches
//     refused as not run; shares of searches above a latency include them.
//   - Extra load: attempts beyond the first one for each shard, as a share of
//     first attempts.
//   - Lost search: one that was not answered with all parts of the index within
//     its deadline.
//   - Goodput: searches answered with all parts within their deadline, per
//     second of arrival time, as a share of the capacity.
//   - Inexact coverage: an answered search whose Merged is not the number of
//     parts in the answers that were delivered to its planner before it finished.
//   - False refusal: a search with the outcome "not run" of which a server
//     started at least one attempt, before or after the refusal.
//   - Cold excess: a request that a cold server received above its cold limit
//     and that its owner sent after the first response with the cold mark had
//     reached it, or beyond the number that could be under way when the server
//     turned cold (slots less the requests then in the server). Answers and
//     shed refusals carry the mark; the end of a cancelled request does not.
package dgtrial
