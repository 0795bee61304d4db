// Package dgrelay decides how one VM obtains and passes on the relayed objects:
// the deployment text, the zones taken out of service, the members, the placement
// table and the index catalog. It also encodes and decodes the bodies of
// state/members, state/zones and state/placement. It has no goroutine, clock or
// lock: a driver passes in the time and the events and carries out the actions.
//
// In an exchange a VM sends its digest, which has the version of each object that
// it holds, to another VM. The reply has the digest of that VM and those of its
// objects that are newer.
//
//   - C1: An object is replaced only by a higher version of itself. A deletion
//     counts as a version, so that an object never reverts on a VM.
//   - C2: A VM that adopts an object passes it on to 3 random members at once.
//   - C3: A VM starts an exchange with another member four times a second, or
//     twice a second in a list of more than 100 members. It goes through all
//     other members in random order before it repeats one. While it knows no
//     other member it uses a seed address from its settings.
//   - C4: Of the members that are heard from, the 3 with the lowest ranks watch the
//     platform. They list its objects first, because a watch does not report what
//     was deleted before it began.
//   - C5: Other members read from the platform only when no peer has replied to an
//     exchange for 3 s. Failed calls are repeated after an exponential back-off
//     with full jitter.
package dgrelay
