// Package dgdemo runs entry VMs together with stand-ins for the platform and the
// backend servers in one process, for the demo, load and control commands.
package dgdemo
