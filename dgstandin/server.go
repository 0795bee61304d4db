package dgstandin

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxRequestBytes bounds a request body as a listener reads it. The platform's
// own limit of one megabyte per value is lower and answers with a status.
const maxRequestBytes = 8 << 20

// acceptPause is the pause after a failed accept, for example for want of file
// descriptors.
const acceptPause = 5 * time.Millisecond

// tcpServer serves one handler on one TCP address. It can stop, which closes the
// listener and all connections and waits for the handlers, and start again on
// the same address. It runs one goroutine per connection and none while idle
// but the accepting one.
type tcpServer struct {
	handler fasthttp.RequestHandler
	// admit decides on each new connection, which is closed if it returns false.
	admit func() bool
	// gone runs once for each admitted connection, before it is closed, so that
	// a client that sees the end of the connection sees the count lowered.
	gone func()

	mu      sync.Mutex
	addr    string
	ln      net.Listener
	conns   map[*serverConn]struct{}
	stopped chan struct{} // closed when handlers should give up
	wg      sync.WaitGroup
}

// serverConn runs the server's hook exactly once when it is closed.
type serverConn struct {
	net.Conn
	srv  *tcpServer
	once sync.Once
	err  error
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.once.Do(func() {
		c.srv.mu.Lock()
		delete(c.srv.conns, c)
		c.srv.mu.Unlock()
		if c.srv.gone != nil {
			c.srv.gone()
		}
		c.err = c.Conn.Close()
	})
	return c.err
}

// start listens on the server's address. The first start resolves port 0; later
// ones use the same port.
func (s *tcpServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr = ln.Addr().String()
	s.ln = ln
	s.conns = make(map[*serverConn]struct{})
	s.stopped = make(chan struct{})
	srv := &fasthttp.Server{
		Handler:               s.handler,
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                discardLogger{},
	}
	s.wg.Add(1)
	go s.accept(ln, srv)
	return nil
}

func (s *tcpServer) accept(ln net.Listener, srv *fasthttp.Server) {
	defer s.wg.Done()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.serve(conn, ln, srv)
	}
}

func (s *tcpServer) serve(conn net.Conn, ln net.Listener, srv *fasthttp.Server) {
	if s.admit != nil && !s.admit() {
		_ = conn.Close()
		return
	}
	c := &serverConn{Conn: conn, srv: s}
	s.mu.Lock()
	live := s.ln == ln
	if live {
		s.conns[c] = struct{}{}
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if !live {
		_ = c.Close()
		return
	}
	go func() {
		defer s.wg.Done()
		_ = srv.ServeConn(c)
	}()
}

// stop closes the listener and all connections and waits for the handlers.
func (s *tcpServer) stop() {
	s.mu.Lock()
	if s.ln == nil {
		s.mu.Unlock()
		return
	}
	_ = s.ln.Close()
	s.ln = nil
	close(s.stopped)
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	s.wg.Wait()
}

// halt returns the channel that is closed when the server stops.
func (s *tcpServer) halt() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// discardLogger drops fasthttp's reports of connections that ended early; the
// stand-ins end them on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
