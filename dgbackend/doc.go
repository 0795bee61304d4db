// Package dgbackend is the client of backend servers.
package dgbackend
