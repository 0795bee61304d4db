// Package dgsettings parses and checks the two INI formats of the project: the
// deployment text, which operators apply, and the settings of a daemon.
//
// Format of a deployment text:
//
//  1. [deployment] gives the name, all availability zones and the hedge extra,
//     which limits the extra sub-requests of hedges and retries.
//  2. [service NAME] is a leaf service with lines "replica N = IP:PORT in ZONE",
//     or a group service with "depends = NAME, NAME".
//  3. "like = NAME" takes keys from [defaults NAME]; a key of the service itself
//     takes precedence.
//  4. No key of a service has a built-in default, so that the text shows every
//     value in effect.
//  5. The ID of a replica is "service/N" with the N of its line, so that deleting
//     a line renames no other replica. A replica whose line ends with "leaving"
//     gets no new work.
//  6. In a service, "like" comes first and the replicas come last, so that a missing
//     section header is reported instead of silently merging two services.
//
// Package dgschema defines all keys with their limits, defaults and meaning. Each
// check is a separate package with its documentation and test data; Checks lists
// them. A text with any fault is rejected.
package dgsettings
