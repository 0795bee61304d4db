package dgclient_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// eventTimeout bounds the wait for events that always occur. It only has to be longer
// than any of them takes.
const eventTimeout = 20 * time.Second

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgclient")
}

// Fails a test that leaves a goroutine running after its client was closed.
var _ = BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(before) }, eventTimeout).Should(Succeed())
	})
})
