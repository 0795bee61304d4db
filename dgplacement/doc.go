// Package dgplacement decides which VM owns which replica, and what this VM may
// send to.
package dgplacement
