package dgnode_test

import (
	"errors"
	"runtime"
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgnode"
	. "github.com/onsi/gomega"
)

// Guards against a catalog object that makes every VM that adopts it panic, or that
// is accepted although its parts would lead to a wrong coverage.
func FuzzDecodeCatalog(f *testing.F) {
	for _, body := range []string{
		``, `{}`, `{"Groups":null}`, `{"Other":1}`, `[`, `{"Groups":[{"Service":"g","Snapshots":[]}]}`,
		`{"Groups":[{"Service":"g","Snapshots":[{"Version":1,"Parts":2,"Shards":[{"Service":"a","Parts":[0]},{"Service":"b","Parts":[1]}]}]}]}`,
		`{"Groups":[{"Service":"g","Snapshots":[{"Version":1,"Parts":2,"Shards":[{"Service":"a","Parts":[0,0]}]}]}]}`,
		`{"Groups":[{"Service":"g","Snapshots":[{"Version":1,"Parts":1,"Shards":[{"Service":"a","Parts":[4294967295]}]}]}]}`,
		`{"Groups":[{"Service":"g","Snapshots":[{"Version":1,"Parts":-1}]}]}`,
		`{"Groups":[{"Service":"g","Snapshots":[{"Version":1,"Parts":20000000000000}]}]}`,
		`{"Groups":[{"Service":"g","Snapshots":[{"Version":2},{"Version":1}]}]}`,
		`{"Groups":[{"Service":"g","Snapshots":[{"Version":18446744073709551615}]},{"Service":"g"}]}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		g := NewWithT(t)
		catalog, err := dgnode.DecodeCatalog(body)
		if err != nil {
			g.Expect(errors.Is(err, dandeliongap.ErrInvalid)).To(BeTrue(), "%v", err)
			return
		}
		for _, snapshots := range catalog {
			last := dandeliongap.IndexVersion(0)
			for _, s := range snapshots {
				g.Expect(s.Version).To(BeNumerically(">", last))
				last = s.Version
				parts := 0
				for _, shard := range s.Shards {
					parts += len(shard.Parts)
				}
				g.Expect(parts).To(Equal(s.Parts))
			}
		}
	})
}

// Guards against a decoder that allocates memory for the stated number of parts of a
// snapshot before it has checked this number: with 100 million it took more than 1 GB
// on every VM that adopted the object.
func TestDecodeCatalogMemory(t *testing.T) {
	g := NewWithT(t)
	body := []byte(`{"Groups":[{"Service":"g","Snapshots":[{"Version":1,"Parts":100000000}]}]}`)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := dgnode.DecodeCatalog(body)
	runtime.ReadMemStats(&after)
	g.Expect(err).To(MatchError(dandeliongap.ErrInvalid))
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 1<<20))
}
