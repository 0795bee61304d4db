// Package dgclient is the Go client of the query tier for callers and operators.
package dgclient
