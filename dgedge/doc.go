// Package dgedge implements the daemon of a tier whose VMs route requests
// themselves: each VM forwards to the backend servers directly. The decisions are
// made by the packages dgroute, dggather, dgbalance, dgbudget, dgcatalog,
// dgpresence, dgwatch, dgrollout and dgadmit; dgedge does the I/O for them.
//
// One goroutine owns the control state. It applies updates from the store and from
// other VMs and publishes an immutable view. Request goroutines read that view and
// share the replica statistics and the retry budget under one mutex.
package dgedge
