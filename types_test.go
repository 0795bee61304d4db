package dandeliongap_test

import (
	"os"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap"
)

// Every rejection reason needs a row in docs/OPERATIONS.md. The test guards
// against a reason that callers and operators receive but cannot look up.
func TestEveryReasonIsDocumented(t *testing.T) {
	page, err := os.ReadFile("docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	first := dandeliongap.ReasonNone + 1
	if first.String() == "invalid" {
		t.Fatal("no reason follows ReasonNone")
	}
	for r := first; r.String() != "invalid"; r++ {
		if !strings.Contains(string(page), "\n| `"+r.String()+"` |") {
			t.Errorf("docs/OPERATIONS.md has no row for the reason %q", r)
		}
	}
}
