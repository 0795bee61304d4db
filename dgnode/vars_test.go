package dgnode_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgnode"
	"dandeliongap.example/dandeliongap/dgplatform"
	"dandeliongap.example/dandeliongap/dgsettings"
	"github.com/charmbracelet/log"
)

// Guards against a metric of /debug/vars that docs/OPERATIONS.md does not explain.
// The page is read through a link inside the module, because go test does not
// invalidate cached results when files outside of the module change.
func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("testdata/OPERATIONS.md")
	must(t, err)
	settings := dgsettings.DefaultDaemon()
	settings.OperatorToken, settings.PeerListen = "token-of-this-test", "127.0.0.1:0"
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	store, err := dgplatform.New(dgplatform.Options{Address: "127.0.0.1:1"}) // no server listens on this port
	must(t, err)
	defer store.Close()
	backend := struct{ dandeliongap.BackendClient }{} // not called without replicas
	node, err := dgnode.Start(dgnode.Options{
		Settings: settings, Store: store, Backend: backend, CallerListener: callers, Log: log.New(io.Discard),
	})
	must(t, err)
	defer node.Kill()
	req, _ := http.NewRequest(http.MethodGet, "http://"+callers.Addr().String()+"/debug/vars", nil)
	req.Header.Set("Authorization", "Bearer token-of-this-test")
	resp, err := http.DefaultClient.Do(req)
	must(t, err)
	defer resp.Body.Close()
	var vars struct{ Dandeliongap map[string]int64 }
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil || len(vars.Dandeliongap) == 0 {
		t.Fatal("/debug/vars returned no readable metrics:", err)
	}
	for name := range vars.Dandeliongap {
		if !strings.Contains(string(page), "\n| `"+name+"` |") {
			t.Errorf("docs/OPERATIONS.md has no row for the metric %s", name)
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
