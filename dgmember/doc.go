// Package dgmember decides about the lease, contact, membership and fencing of
// one VM.
package dgmember
