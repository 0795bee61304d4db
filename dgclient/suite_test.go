package dgclient_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// patience bounds waits for events that always come; it is no expected time.
const patience = 20 * time.Second

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgclient")
}

// A goroutine that outlives the Close of its client fails the test.
var _ = BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(before) }, patience).Should(Succeed())
	})
})
