// Package dgsettings reads the INI texts of the project: the deployment text of
// operators and the settings of a daemon.
//
// Form of a deployment text:
//
//  1. [deployment] gives the name, all availability zones and the hedge extra.
//  2. [service NAME] is a leaf service with lines "replica N = IP:PORT in ZONE",
//     or a group service with "depends = NAME, NAME".
//  3. "like = NAME" takes keys from [defaults NAME]; a key of the service itself
//     takes precedence.
//  4. No key of a service has a built-in default, so that the text shows
//     everything that applies.
//  5. The id of a replica is "service/N" with the N of the text. Deleting a line
//     renames no other replica. The word "leaving" at the end of the line asks
//     for no new work.
//  6. In a service, "like" comes first and the replicas come last, so that a lost
//     section header does not silently join two services.
//
// Package dgschema has the tables of all keys with their limits, defaults and
// meaning. Each check is a package of its own with its documentation and test
// texts; Checks lists them. A text with any fault is not accepted.
package dgsettings
