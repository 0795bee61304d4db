package dgbackend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// errBroken reports an answer that is not whole or not HTTP as section 9 of the
// design page has it.
var errBroken = errors.New("broken answer")

// firstFinalStatus is the first status that is not an interim answer.
const firstFinalStatus = 200

// lengthIdentity is what fasthttp reports for a body that ends with the
// connection, which cannot be told from a truncated one.
const lengthIdentity = -2

// conn is one connection to a backend server. It belongs to one request at a
// time.
type conn struct {
	tcp     *net.TCPConn
	br      *bufio.Reader
	bw      *bufio.Writer
	written int64 // bytes that the kernel took

	raw  syscall.RawConn
	peek func(fd uintptr) bool // set once, so that a check allocates nothing
	buf  [1]byte
	n    int
	err  error
}

func newConn(tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{tcp: tcp, raw: raw}
	c.br = bufio.NewReader(tcp)
	c.bw = bufio.NewWriter(c)
	c.peek = func(fd uintptr) bool {
		c.n, c.err = syscall.Read(int(fd), c.buf[:])
		return true
	}
	return c, nil
}

// Write counts the bytes that the kernel took, which decides between "not run"
// and "unknown" when it fails (B3).
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.tcp.Write(b)
	c.written += int64(n)
	return n, err
}

// alive tells whether a free connection is open and has no byte to read. A byte
// would belong to an earlier request.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.n < 0 && errors.Is(c.err, syscall.EAGAIN)
}

// send writes a request. It tells whether any byte of it was written.
func (c *conn) send(req *fasthttp.Request, end time.Time) (sent bool, err error) {
	before := c.written
	if err := c.tcp.SetDeadline(end); err != nil {
		return false, err
	}
	err = req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	return c.written > before, err
}

// receive reads one whole answer. Its error wraps errBroken if a part of an
// answer arrived; otherwise it is io.EOF or that of the connection.
func (c *conn) receive(resp *fasthttp.Response, limit int) error {
	if err := resp.Header.Read(c.br); err != nil {
		return headerError(err)
	}
	if resp.StatusCode() < firstFinalStatus || resp.Header.ContentLength() == lengthIdentity {
		return errBroken
	}
	chunked := resp.Header.ContentLength() < 0
	if err := resp.ReadBody(c.br, limit); err != nil {
		return wrapBroken(err)
	}
	if !chunked {
		return nil
	}
	if err := resp.Header.ReadTrailer(c.br); err != nil {
		return wrapBroken(err)
	}
	return nil
}

// headerError sorts an error of reading a header: the connection's own errors stay,
// all others mean that something else than a header arrived.
func headerError(err error) error {
	var op *net.OpError
	if errors.Is(err, io.EOF) || errors.As(err, &op) {
		return err
	}
	return wrapBroken(err)
}

func wrapBroken(err error) error { return fmt.Errorf("%w: %w", errBroken, err) }

// reusable tells whether a connection may serve another request after a whole
// answer (B4).
func (c *conn) reusable(resp *fasthttp.Response) bool {
	return !resp.ConnectionClose() && c.br.Buffered() == 0
}

// drain ends the sending side and waits until the backend server closes its own,
// at most until end, and for at most limit bytes.
func (c *conn) drain(end time.Time, limit int) {
	if c.tcp.CloseWrite() == nil && c.tcp.SetReadDeadline(end) == nil {
		_, _ = io.CopyN(io.Discard, c.tcp, int64(limit))
	}
	_ = c.tcp.Close()
}
