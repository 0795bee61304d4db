// Package dgstandin holds small stand-ins for the parties outside the system: the
// platform's object API, its VM list and backend servers.
package dgstandin
