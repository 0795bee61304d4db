// Package dgdemo runs stand-ins and entry VMs in one process, for the demo and load
// commands.
package dgdemo
