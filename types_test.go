package dandeliongap_test

import (
	"os"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap"
)

// Guards against a refusal that docs/OPERATIONS.md does not explain: callers and
// operators would meet a reason that no page describes.
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
