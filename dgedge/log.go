package dgedge

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// logQueueSize is the number of lines queued for a slow output. Further lines are
	// dropped.
	logQueueSize = 1000
	// logRate limits the lines about requests, in lines per second. logBurst admits a
	// short burst of failures.
	logRate  = 200
	logBurst = 400
	// LogTimeFormat is the layout of timestamps in log lines.
	LogTimeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// eventLog writes JSON lines without ever blocking on the output. Lines about
// requests are rate-limited. The number of dropped lines is logged.
type eventLog struct {
	out     zerolog.Logger
	queue   diode.Writer
	limit   *rate.Limiter
	dropped atomic.Int64
	written atomic.Bool // a line was written since the last call of flush
	once    sync.Once
}

func newEventLog(w io.Writer, vm dandeliongap.VMName) *eventLog {
	l := &eventLog{limit: rate.NewLimiter(logRate, logBurst)}
	l.queue = diode.NewWriter(w, logQueueSize, 0, func(missed int) { l.dropped.Add(int64(missed)) })
	l.out = zerolog.New(l.queue).With().Str("VM", string(vm)).Logger()
	return l
}

// event begins a line about the process or its view of the tier. Such lines are not
// rate-limited.
func (l *eventLog) event(msg string) *zerolog.Event {
	l.written.Store(true)
	return l.out.Log().Str("Time", time.Now().UTC().Format(LogTimeFormat)).Str("Msg", msg)
}

// request begins a line about a request. It returns nil if the rate limit is
// exceeded; all methods of a nil event do nothing.
func (l *eventLog) request(msg, id string) *zerolog.Event {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return nil
	}
	return l.event(msg).Str("Request", id)
}

// reportDropped logs the number of lines dropped since the last call.
func (l *eventLog) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.event("log lines dropped").Int64("Lines", n).Send()
	}
}

// flush wakes the goroutine that writes the queued lines. diode.Writer signals a new line
// without holding its lock, and the signal is lost if the goroutine is just about to wait: the
// line would then stay in the queue until the next one. flush is called a few times a second.
func (l *eventLog) flush() {
	if l.written.Swap(false) {
		_, _ = l.queue.Write(nil) // never fails, and writes nothing
	}
}

func (l *eventLog) close() {
	l.once.Do(func() {
		l.reportDropped()
		if err := l.queue.Close(); err != nil {
			fmt.Println("cannot close log:", err)
		}
	})
}

// maxLoggedText limits the length in bytes of a text from outside the process in a log
// line.
const maxLoggedText = 200

// clip shortens a text from outside the process for a log line.
func clip(s string) string {
	if len(s) <= maxLoggedText {
		return s
	}
	return s[:maxLoggedText] + "..."
}
