package dandeliongap_test

import (
	"testing"

	"dandeliongap.example/dandeliongap"
)

// TestEraVersions guards against a version of a later era that counts as older than one of
// an earlier era, and against versions that change while the store numbers no eras.
func TestEraVersions(t *testing.T) {
	if got := dandeliongap.Era(0).Version(1 << 50); got != 1<<50 {
		t.Errorf("version of revision 2^50 without eras: %d", got)
	}
	if got := dandeliongap.Era(3).Version(0); got != 0 {
		t.Errorf("version of an object that does not exist: %d, want 0", got)
	}
	last := dandeliongap.Version(0)
	for _, era := range []dandeliongap.Era{0, 1, 2, dandeliongap.MaxEra} {
		for _, revision := range []uint64{1, 500, 1<<48 - 1} {
			v := era.Version(revision)
			if v <= last || v.Era() != era || v.Revision() != revision {
				t.Errorf("era %d, revision %d: version %d after %d, with era %d and revision %d", era, revision, v, last, v.Era(), v.Revision())
			}
			last = v
		}
		if start := (era + 1).Start(); era < dandeliongap.MaxEra && (start <= last || start >= (era+1).Version(1)) {
			t.Errorf("era %d begins at %d, want between %d and %d", era+1, start, last, (era + 1).Version(1))
		}
	}
}
