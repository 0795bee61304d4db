package dgstandin_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// patience bounds waits for events that always come; it is no expected time.
const patience = 20 * time.Second

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgstandin")
}

// A goroutine that outlives the Close of a stand-in fails the test.
var _ = BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		Eventually(func() error { return goleak.Find(before) }, patience).Should(Succeed())
	})
})

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   string
}

// ask sends one request; headers are given as "Name: value".
func ask(method, addr, path, body string, headers ...string) (reply, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b)}, err
}

func mustAsk(method, addr, path, body string, headers ...string) reply {
	GinkgoHelper()
	r, err := ask(method, addr, path, body, headers...)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func id(n int) string { return fmt.Sprintf("Request-Id: %d", n) }

func deadline(in time.Duration) string {
	return fmt.Sprintf("Deadline-Unix-Ms: %d", time.Now().Add(in).UnixMilli())
}
