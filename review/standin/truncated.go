package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	longBody     = 200 << 10 // bytes of each request, below MaxBodyBytes
	answerBytes  = 4000
	brokenShare  = 0.02 // of the answers of the faulty replica that are broken off
	longRequests = 4000
	longClients  = 12
)

func init() { cases["truncated"] = playTruncated }

// playTruncated plays a replica that answers before it has read a long request, without a
// length, and breaks off some of its answers.
func playTruncated(s *stage) (held bool, err error) {
	var count atomic.Int64
	var mu sync.Mutex
	whole := make(map[string]bool) // by stamp and request: the replica's answer was whole
	answer := func(faulty bool) func(*server, net.Conn, *http.Request) bool {
		return func(rep *server, c net.Conn, r *http.Request) bool {
			id := r.Header.Get(headerID)
			rep.ran(id)
			body := bytes.Repeat([]byte(id+"."), answerBytes/(len(id)+1))
			breaks := faulty && s.trouble && count.Add(1)%int64(1/brokenShare) == 0
			mu.Lock()
			whole[rep.stamp(id)] = !breaks
			mu.Unlock()
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", headerID, id, headerStamp, rep.stamp(id))
			if breaks {
				_, _ = io.WriteString(c, head+string(body[:len(body)/2]))
				rep.log.line("broken %s at %s after %d of %d bytes", id, rep.id, len(body)/2, len(body))
				return false // unread bytes of the request: the connection is reset
			}
			_, _ = io.WriteString(c, head+string(body))
			_, _ = io.Copy(io.Discard, r.Body)
			return false
		}
	}
	st := newStore()
	for i := range 2 {
		ln, err := listenSmall(loopbackIP(9))
		if err != nil {
			return false, err
		}
		rep := &server{id: fmt.Sprintf("i-%d", i), service: "ledger", log: s.log, answer: answer(i == 0)}
		rep.start(ln)
		st.put("servers", rep.id, rep.entry("ready"))
	}
	st.put("config", "main", oneRoute("1", "ledger", "ledger", "safe", 5*time.Second))
	if err := s.startTier(1, st); err != nil {
		return false, err
	}

	body := strings.Repeat("x", longBody)
	var wrong, served, other atomic.Int64
	var next atomic.Int64
	var wg sync.WaitGroup
	for range longClients {
		wg.Go(func() {
			var c *clientConn
			for {
				n := next.Add(1)
				if n > longRequests {
					return
				}
				id := fmt.Sprintf("%016x", n)
				if c == nil {
					if c, err = dialClient(s.vms[0].entry); err != nil {
						return
					}
				}
				out, keep := c.send(id, http.MethodPost, "/ledger/x", body, 5*time.Second)
				if !keep {
					_ = c.Close()
					c = nil
				}
				mu.Lock()
				good := whole[out.stamp]
				mu.Unlock()
				full := answerBytes / (len(id) + 1) * (len(id) + 1)
				switch {
				case out.status/100 != 2:
					other.Add(1)
					s.log.line("answer %s status %d, %v", id, out.status, out.err)
				case !good || len(out.body) != full:
					wrong.Add(1)
					s.log.line("WRONG  %s status %d with stamp %s and %d of %d bytes", id, out.status, out.stamp, len(out.body), full)
				default:
					served.Add(1)
					s.log.line("answer %s status %d with stamp %s, whole", id, out.status, out.stamp)
				}
			}
		})
	}
	wg.Wait()
	s.log.line("served whole %d, success with a truncated body %d, not served %d", served.Load(), wrong.Load(), other.Load())
	fmt.Printf("served whole %d, success with a truncated body %d, not served %d\n", served.Load(), wrong.Load(), other.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return wrong.Load() == 0, nil
}

// listenSmall listens with the segment size and the small window of a usual network link.
func listenSmall(ip string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		_ = raw.Control(func(fd uintptr) {
			const maxSegment = 1460
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegment); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
			}
		})
		return err
	}}
	return cfg.Listen(context.Background(), "tcp", ip+":0")
}
