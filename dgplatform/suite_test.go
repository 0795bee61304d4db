package dgplatform_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgplatform")
}

// A test fails if a goroutine is still running after its clients and stand-in servers
// were closed.
var _ = BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(before) }, eventTimeout).Should(Succeed())
	})
})
