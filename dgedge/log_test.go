package dgedge_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgedge"
)

// BenchmarkRequestLine measures the CPU time of one log line about a request.
func BenchmarkRequestLine(b *testing.B) { dgedge.WriteRequestLines(io.Discard, b.N) }

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(b)
}

var _ = Describe("the log", func() {
	// Guards against requests that wait for a slow log output.
	It("drops lines instead of waiting for its output", func() {
		w := &blockedWriter{release: make(chan struct{})}
		done := make(chan struct{})
		go func() {
			time.AfterFunc(300*time.Millisecond, func() { close(w.release) })
			dgedge.WriteRequestLines(w, 20_000)
			close(done)
		}()
		Eventually(done, 20*time.Second).Should(BeClosed())
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(bytes.Count(w.b.Bytes(), []byte("\n"))).To(BeNumerically("<", 20_000))
	})
})
