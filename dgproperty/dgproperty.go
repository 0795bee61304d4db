// Package dgproperty sets defaults for the flags of pgregory.net/rapid, so that
// property tests use the same seed and give the same result on every run.
package dgproperty

import (
	"flag"
	"fmt"
	"strconv"
)

// SetRapidDefaults sets the seed of the property tests of a test binary, and the
// number of checks of each test unless that is 0. Call it from init: flags on the
// command line, such as -rapid.seed=7, are parsed later and take precedence. It panics
// in a test binary that does not import rapid.
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
