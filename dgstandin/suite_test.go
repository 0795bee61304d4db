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

// eventTimeout limits the wait for events that must happen. It is much longer than
// they should take.
const eventTimeout = 20 * time.Second

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgstandin")
}

// Each test fails if a goroutine is still running after its stand-ins were closed.
var _ = BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		Eventually(func() error { return goleak.Find(before) }, eventTimeout).Should(Succeed())
	})
})

// response is an HTTP response whose body has been read.
type response struct {
	status int
	header http.Header
	body   string
}

// send sends one HTTP request and reads the response. Headers have the form
// "Name: value".
func send(method, addr, path, body string, headers ...string) (response, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(b)}, err
}

func mustSend(method, addr, path, body string, headers ...string) response {
	GinkgoHelper()
	r, err := send(method, addr, path, body, headers...)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func requestIDHeader(n int) string { return fmt.Sprintf("Request-Id: %d", n) }

// deadlineHeader returns the header of a deadline that passes after d.
func deadlineHeader(d time.Duration) string {
	return fmt.Sprintf("Deadline-Unix-Ms: %d", time.Now().Add(d).UnixMilli())
}
