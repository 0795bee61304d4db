// Package dgedge is the daemon of a tier whose VMs forward requests along routes
// themselves: each VM sends to the backend servers directly. It drives the
// decision packages (dgroute, dggather, dgbalance, dgbudget, dgcatalog,
// dgpresence, dgwatch, dgadmit) and carries their decisions out.
//
// One goroutine owns the control state; it takes in what the store and other VMs
// tell and publishes an immutable view. The goroutines of requests read that view
// and share the replica statistics and the budget under one mutex.
package dgedge
