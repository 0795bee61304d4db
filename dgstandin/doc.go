// Package dgstandin implements in-process stand-ins for the external systems that
// the query tier talks to: the platform's object API, its VM list and backend
// servers. Tests and demos use them to inject faults and to count violations of
// the limits.
package dgstandin
