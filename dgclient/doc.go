// Package dgclient is the client of the tier for callers and operators.
package dgclient
