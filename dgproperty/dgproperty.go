// Package dgproperty fixes the seeds of property tests, so that they give the same
// verdict on every run.
package dgproperty

import (
	"flag"
	"fmt"
	"strconv"
)

// SetRapidDefaults sets the seed of the property tests of a test binary, and the
// number of runs of each unless that is 0. Flags of the command line, such as -rapid.seed=7, go
// before it. It is called from init, before flags are parsed, and panics in a binary
// without property tests.
func SetRapidDefaults(seed uint64, checks int) {
	set("rapid.seed", strconv.FormatUint(seed, 10))
	if checks > 0 {
		set("rapid.checks", strconv.Itoa(checks))
	}
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("flag %s: %v", name, err))
	}
}
