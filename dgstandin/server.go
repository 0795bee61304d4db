package dgstandin

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxRequestBytes is the largest request body that a server reads. It is larger
// than MaxValueBytes (1 MiB), so that the platform can answer an oversized value
// with a status.
const maxRequestBytes = 8 << 20

// acceptRetryDelay is the pause after a failed accept, for example when the
// process has run out of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// tcpServer serves one handler on one TCP address. It can be stopped and started
// again on the same address. It runs one goroutine that accepts connections and
// one per open connection.
type tcpServer struct {
	handler fasthttp.RequestHandler
	// admit is called for each new connection, which is closed if it returns
	// false. Optional.
	admit func() bool
	// onClose is called once for each admitted connection, before it is closed,
	// so that the count of open connections is already lower when the client
	// sees the connection end. Optional.
	onClose func()

	mu      sync.Mutex
	addr    string
	ln      net.Listener
	conns   map[*serverConn]struct{}
	stopped chan struct{} // closed when the server stops; handlers then return
	wg      sync.WaitGroup
}

// serverConn is an admitted connection. Its first Close removes it from the
// server and calls onClose.
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
		if c.srv.onClose != nil {
			c.srv.onClose()
		}
		c.err = c.Conn.Close()
	})
	return c.err
}

// start listens on the server's address. If the port is 0, the first start picks
// a free one and later starts use the same. It does nothing if the server is
// already running.
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
			time.Sleep(acceptRetryDelay)
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
	running := s.ln == ln // false if the server stopped after it accepted conn
	if running {
		s.conns[c] = struct{}{}
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if !running {
		_ = c.Close()
		return
	}
	go func() {
		defer s.wg.Done()
		_ = srv.ServeConn(c)
	}()
}

// stop closes the listener and all connections and waits for the handlers. It does
// nothing if the server is already stopped.
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

// stopping returns the channel that is closed when the server stops.
func (s *tcpServer) stopping() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// discardLogger discards fasthttp's messages about connections that ended early,
// because the stand-ins close connections on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
