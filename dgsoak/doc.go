// Package dgsoak runs the daemon of the edge as separate processes on loopback, injects
// faults that a seed decides, and checks the promises of the tier from what callers and
// backend servers see. The platform around the processes is a stand-in (Platform).
//
// Promises:
//
//	K1   A success is whole, belongs to its request and is what backend servers sent.
//	K2   The parts of a merged response and the number of missing ones make up the shards
//	     of one configuration, each at most once, and are enough.
//	K3   A request that may not be repeated runs at most once.
//	K4   A request that was refused as not run has not run and does not run later.
//	K5   Backend servers get only requests that callers sent, unchanged.
//	K6   A request reaches each service at most MaxAttempts times.
//	K7   Extra requests to a service stay within the retry budget of the tier.
//	K8   A backend server that is leaving gets no request after Bounds.Drain.
//	K9   A zone that is out of service gets no request after Bounds.Evacuation.
//	K10  A backend server that asked for a pause gets none from that VM in the pause.
//	K11  A configuration is in force after Bounds.ConfigApply, and no VM goes back behind
//	     one that it has used.
//	K12  A planned stop aborts no request and takes at most Bounds.Grace.
//	K13  No process ends by itself.
//	K14  After the last fault, callers are served again within Bounds.Recover.
//	K15  Memory and descriptors of a process stay below Bounds.MemoryBytes and
//	     Bounds.Descriptors.
//	K16  A request gets a response until Bounds.ResponseSlack after its deadline.
//
//	K17  After the store was restored from a copy, a process of a VM sends no request to a
//	     backend server that it had left before because it drains.
//	K18  While writers write again after that, it sends none to a zone that was out of
//	     service before.
//
//	K19  No backend server sees a key, or another account than that of the key, whatever the
//	     caller sent.
//	K20  Bounds.Revoke after a key was removed no request with it runs. One with a key that
//	     was never known, or with none, never does, except on a public route.
//	K21  In no Bounds.Quota.Window run more requests of an account than
//	     (rate x window + burst) x (1 + overshoot) + slack, over all VMs, faults or not.
//	K22  A request with a valid key is not refused for its key.
//
//	K23  A bad version gets at most Bounds.ExposureShare of the requests that reach its service
//	     between the order and its deadline, plus Bounds.ExposureSlack, over all VMs, faults or
//	     not.
//	K24  When an order is completed, no request is at a backend server of an old version, and
//	     none reaches one later.
//	K25  A backend server of a version that nobody has ordered gets no request.
//
// K7 to K12, K14, K16 to K18, K20, K21, K24 and K25 have time bounds, which a busy machine may break. K8 to K12,
// K16, K20 and K24 hold for VMs that no fault has touched for Bounds.Stable, K17 and K18 for those that
// none had touched before the restore. K11 holds around a restore too: no VM goes back to the
// configuration of the copy. A lower limit (K21) is binding in windows that begin
// Bounds.AccountApply after the configuration, without the time in which a fault kept
// configurations from VMs. A request counts for a window if it was both sent and read by a
// backend server in it. K22 holds with faults too, but for keys added less than
// Bounds.AccountApply ago or to VMs that faults have touched since.
package dgsoak
