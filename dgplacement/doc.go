// Package dgplacement decides which VM owns which replica, and what this VM may
// send to. It has no goroutine, clock or lock: a driver passes the time and
// events and carries out the actions.
//
// The table has one row per replica: Replica, Owner, Epoch, Former.
//
//   - L1: Any VM may write the table, by conditional update. The live member with
//     the lowest rank writes it; each next rank waits 1 s longer (dgmember).
//   - L2: The owner is chosen by weighted rendezvous hash over the live members
//     of the replica's zone, or of all zones if it has none. The weight is what
//     a member lacks of its even share. Members that leave or are in a taken-out
//     zone get no rows.
//   - L3: The replicas of one leaf have different owners as long as there are
//     candidates. If the zone of all of them has one member only, one replica
//     goes to another zone, so that every leaf has two owners.
//   - L4: A row moves only if its owner is gone, leaves or is outside the
//     replica's zone while that has members; if L3 needs it; or between an owner
//     and a member of which one is overloaded (over 1.25 times its even share,
//     and by at least 1) or underused (under the even share divided by 1.25, and
//     by at least 1). No row moves twice in 2 s unless its owner is gone.
//   - L5: A move raises the epoch and adds the old owner to Former. Former keeps
//     only members that still exist. A new row starts with an epoch above the
//     version of the table, hence above every epoch of an earlier row of the
//     replica; the row of a removed replica stays without owner while Former
//     is not empty.
//   - L6: The new owner sends only when every other member in Former has released
//     the replica at this epoch or was dropped from a list of members at least
//     as new as the one that the table was planned with.
//   - L7: A VM that is asked to release a replica stops sending, and answers when
//     no request is under way. It never again sends under an epoch at or below
//     the one that was asked for. A VM that does not hold the replica answers at
//     once.
//   - L8: Without a release by the owner of the last epoch the new owner treats
//     the replica as cold.
//   - L9: Nobody plans with a list of members or a deployment that is older than
//     the one that the present table was planned with.
package dgplacement
