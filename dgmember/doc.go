// Package dgmember decides about the lease, contact, membership and fencing of
// one VM. It has no goroutine, clock or lock: a driver passes the time and
// events, and carries out the actions.
//
// A majority is more than half of the VM names in the list of members. A VM with
// several incarnations in the list counts once. This assumes that no two
// processes of one VM name run at the same time.
//
// W is the contact window: 3 s up to 12 VMs, 8 s above. The margin is 1 s.
//
//   - M1: The lease is valid until (time before the renewal was sent) + TTL.
//   - M2: Rights that are valid go on while the VM does not reach the platform
//     and a majority, itself counted, reported within W under its version of
//     the list that they do not reach it either. Rights that ended come back
//     only by a renewal.
//   - M3: A VM that cannot renew renews through a peer that reaches the platform.
//   - M4: Without M1 to M3 the VM sends nothing. A VM whose lease object is gone
//     or that was dropped from the list stops and starts a new incarnation.
//   - M5: Sub-requests end before the rights do. The driver enforces it with the
//     instant that Rights returns.
//   - M6: After a pause of more than 1 s the VM has no rights, and fences and
//     writes nothing, until a renewal that was sent afterwards succeeded.
//   - F1: A member that was not heard of for SuspectAfter is suspected. Its lease
//     object is deleted only if its version did not change for the TTL in its
//     body + W + margin, and if during all of the last 2 W the same majority,
//     the suspect not counted, reported under this version of the list that it
//     reaches the platform, this VM among them.
//   - F2: The deletion is conditional on the version that was read.
//   - F3: A member is dropped from the list only after its lease object is gone.
//   - F4: A new list names the VMs of the list that it replaces, and of those
//     earlier lists of which no majority was heard of under the replaced one.
//     M2 holds only once a majority of each list so named was heard of under the
//     present one, and F1 only 2 W later. Nobody can be under M2 by a list that
//     its majority has given up.
//   - L1: The member with the lowest rank among those heard of acts first, each
//     next one 1 s later.
//   - K1: Only the answer to an exchange counts as contact, and it is as old as
//     its request. A delayed request could be of any age.
//   - K2: A VM that reports the platform as unreachable goes on to do so for at
//     least W + margin, so that no VM sees only the reports before and after.
//   - J1: A VM that is not listed, or listed with another state, asks the member
//     with the lowest rank, and after three attempts writes the list itself.
//
// Why M2 and F1 exclude each other: suppose that a VM decides at t to delete the
// lease of a holder under M2. The lease of the holder ended before t - W, so M2
// held at t - W too, by reports that were made in [t - 2W, t - W]. Both
// majorities share a member that then reported the platform as unreachable, and
// that the other VM had reports of, at most W old, over all of [t - 2W, t], that
// all said the opposite. By K2 this cannot be. With different versions of the
// list, by F4 a majority of the older one has adopted the newer one, and no
// majority reports under the older one any more. After t the holder can only come back by a
// renewal, which changes the version (F2).
package dgmember
