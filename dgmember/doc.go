// Package dgmember decides about the lease, the contacts, the membership and the
// fencing of one VM. It has no goroutine, clock or lock: a driver passes in the
// time and the events and carries out the actions.
//
// A member is one incarnation of a VM; its rank is defined by dgrelay.CompareRank.
// The rights of a VM are its permission to send to the replicas that it owns. To
// fence a member is to delete its lease object, so that its replicas can move.
//
// A report is a member's statement whether it reaches the platform. Members pass
// on the newest reports that they have, in the contact vectors of their replies.
//
// A majority is more than half of the VM names in the member list. A VM that is
// listed with several incarnations counts once. This assumes that no two
// processes with the same VM name run at the same time.
//
// W, the contact window, is the age up to which a report counts: 3 s for up to 12
// VMs, 8 s for more. The margin is 1 s.
//
//   - M1: A lease is valid for its TTL, which starts before its renewal is sent.
//   - M2: While a VM does not reach the platform, its rights, if they are still
//     valid, are extended for as long as a majority of VMs, this one included,
//     have reported the same within W and under this VM's version of the list.
//     Rights that have ended return only with a renewal.
//   - M3: A VM that cannot renew its lease itself renews it through a peer that
//     reaches the platform.
//   - M4: Without rights under M1 to M3 a VM sends nothing to replicas. A VM whose
//     lease object is gone, or that was dropped from the list, stops and starts
//     again as a new incarnation.
//   - M5: Sub-requests end before the rights do. The driver enforces this with
//     the instant that Rights returns.
//   - M6: After a pause of more than 1 s a VM has no rights, fences no member and
//     writes nothing until a renewal that was sent after the pause has succeeded.
//   - F1: A member that was not heard from for SuspectAfter is suspected. Its
//     lease object is deleted only if the object's version has not changed for
//     the TTL in its body + W + margin, and if all VMs of one majority reported
//     throughout the last 2 W, under this version of the list, that they reach
//     the platform. This VM can be one of them, the suspect cannot.
//   - F2: The deletion is conditional on the version that was read.
//   - F3: A member is dropped from the list only after its lease object is gone.
//   - F4: A new list names the VMs of the list that it replaces, and those of each
//     earlier list of which no majority was heard from under the replaced list.
//     M2 applies only once a majority of each list so named was heard from under
//     the new list, and F1 only 2 W after that. Thus no VM can have rights under
//     M2 by a list that its majority has given up.
//   - L1: Of the members that are heard from, the one with the lowest rank acts
//     first, and each next rank 1 s later.
//   - K1: Only the reply to an exchange counts as contact, as of the time when its
//     request was sent. The arrival of a request does not count, because the
//     request may have been delayed for any length of time.
//   - K2: A VM that reports the platform as unreachable keeps reporting so for at
//     least W + margin, so that no VM sees only the reports before and after.
//   - J1: A VM that is not listed, or is listed with another state, asks the
//     member with the lowest rank of those heard from to change the list. After
//     three attempts it writes the list itself.
//
// M2 and F1 exclude each other. Suppose that a VM decides at t to delete the lease
// of a holder whose rights were extended under M2. By F1 the holder's lease ended
// before t - W, so M2 already applied at t - W, by reports made in [t - 2W, t - W].
// The majorities of M2 and F1 share a VM. In that interval the shared VM reported
// the platform as unreachable, yet throughout [t - 2W, t] the deciding VM had its
// reports, at most W old, that all said the opposite. K2 rules this out. If the
// holder and the deciding VM use different versions of the list, then by F4 a
// majority of the older list has adopted the newer one, so that no majority reports
// under the older one any more. After t the holder can regain its rights only by a
// renewal, which changes the version of the lease object and makes the deletion fail
// (F2).
package dgmember
