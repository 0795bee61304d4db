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
	// logQueue is the number of lines that wait for a slow output; more are dropped.
	logQueue = 1000
	// logRate bounds the lines of requests, a second; logBurst allows for a moment
	// with many failures.
	logRate  = 200
	logBurst = 400
	// LogTimeFormat is the form of times in log lines.
	LogTimeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// eventLog writes JSON lines without ever waiting for the output. Lines of
// requests are limited in number; the number of lines left out is logged.
type eventLog struct {
	out     zerolog.Logger
	queue   diode.Writer
	limit   *rate.Limiter
	dropped atomic.Int64
	once    sync.Once
}

func newEventLog(w io.Writer, vm dandeliongap.VMName) *eventLog {
	l := &eventLog{limit: rate.NewLimiter(logRate, logBurst)}
	l.queue = diode.NewWriter(w, logQueue, 0, func(missed int) { l.dropped.Add(int64(missed)) })
	l.out = zerolog.New(l.queue).With().Str("VM", string(vm)).Logger()
	return l
}

// event begins a line about the process or what it believes.
func (l *eventLog) event(msg string) *zerolog.Event {
	return l.out.Log().Str("Time", time.Now().UTC().Format(LogTimeFormat)).Str("Msg", msg)
}

// request begins a line about a request; nil, which takes all calls, when there
// are too many.
func (l *eventLog) request(msg, id string) *zerolog.Event {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return nil
	}
	return l.event(msg).Str("Request", id)
}

// report logs the number of lines left out since the last call.
func (l *eventLog) report() {
	if n := l.dropped.Swap(0); n > 0 {
		l.event("log lines dropped").Int64("Lines", n).Send()
	}
}

func (l *eventLog) close() {
	l.once.Do(func() {
		l.report()
		if err := l.queue.Close(); err != nil {
			fmt.Println("log:", err)
		}
	})
}
