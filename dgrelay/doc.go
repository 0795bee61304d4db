// Package dgrelay decides how one VM obtains and passes on the relayed objects:
// the deployment text, zones taken out, members, placement table and index
// catalog. It also encodes the bodies of state/members, state/zones and
// state/placement. It has no goroutine, clock or lock: a driver passes the time
// and events and carries out the actions.
//
//   - C1: An object is replaced only by a higher version of itself; a deletion
//     counts as a version. A version therefore never reverts on a VM.
//   - C2: A VM that adopts an object passes it at once to 3 random members.
//   - C3: Four times a second, in a list of more than 100 twice, a VM exchanges
//     with another member, each member once in a random order before any of them
//     again; with a seed address of its settings while it knows no other member.
//   - C4: The 3 members with the lowest ranks among those that are heard from
//     watch the platform. They list it first, because a watch does not report
//     what was deleted before it began.
//   - C5: Other members read the platform only while no peer has answered an
//     exchange for 3 s. Failed calls are repeated after an exponential back-off
//     with full jitter.
package dgrelay
