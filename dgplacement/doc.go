// Package dgplacement decides which VM owns which replica, and to which replicas
// this VM may send. It has no goroutine, clock or lock: a driver passes in the
// time and the events and carries out the actions.
//
// Only the owner of a replica sends requests to it. The placement table has one row
// per replica with the fields Replica, Owner, Epoch and Former. The epoch increases
// with each change of owner. Former lists the previous owners that may not have
// released the replica yet. A leaf is a service that has replicas.
//
//   - L1: Any VM may write the table, by conditional update. The live member with
//     the lowest rank writes it; each next rank waits 1 s longer (dgmember).
//   - L2: The owner is chosen by weighted rendezvous hashing among the eligible
//     members of the replica's zone, or of all zones if that zone has none. A member
//     is eligible if it is live and its zone is not taken out of service. Its weight
//     is the number of rows that it is short of its even share.
//   - L3: The replicas of one leaf have different owners as long as there are
//     enough candidates. If all replicas of a leaf are in a zone with a single
//     eligible member, one of them gets an owner in another zone, so that every leaf
//     has two owners.
//   - L4: A row moves only in these cases: its owner is gone or is leaving; its
//     owner is outside the replica's zone, and either the replica's zone has eligible
//     members or the owner's zone is taken out; L3 requires the move; or its owner
//     is overloaded or its new owner underused. A member is overloaded if it has
//     more than 1.25 times its even share and at least 1 row more than that share.
//     It is underused if it has less than its even share divided by 1.25 and at
//     least 1 row less than that share. No row moves twice within 2 s unless its
//     owner is gone.
//   - L5: A move increases the epoch and adds the old owner to Former. Only current
//     members stay in Former. A new row starts with an epoch above the version of
//     the table, and thus above every epoch of an earlier row of the same replica.
//     The row of a removed replica stays in the table, without an owner, until
//     Former is empty.
//   - L6: The new owner sends only after every other member in Former has released
//     the replica at this epoch or was dropped from the member list. In addition,
//     the new owner's member list must be at least as new as the one from which the
//     table was planned.
//   - L7: A VM that is asked to release a replica stops sending to it, and replies
//     once no request is in flight. It never again sends under the epoch of that
//     release request or a lower one. A VM that does not hold the replica replies
//     at once.
//   - L8: Unless the owner of the previous epoch has released the replica and passed
//     on its concurrency limit, the new owner treats the replica as cold: it starts
//     at the cold limit (dggate).
//   - L9: No VM plans from a member list or a deployment that is older than the one
//     from which the current table was planned.
package dgplacement
