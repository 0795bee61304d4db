package dgbackend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/valyala/fasthttp"
)

// errBroken means that a response is incomplete or is not HTTP as specified in
// section 9 of the design page.
var errBroken = errors.New("incomplete or malformed response")

// lengthIdentity is the content length that fasthttp reports for a body delimited
// by the end of the connection. Such a body cannot be distinguished from a truncated one.
const lengthIdentity = -2

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	tcp     *net.TCPConn
	br      *bufio.Reader
	bw      *bufio.Writer
	written int64 // bytes that the kernel accepted
	grown   bool  // br is larger than usual

	raw      syscall.RawConn
	readByte func(fd uintptr) bool // created once, so that alive does not allocate
	buf      [1]byte               // buffer of readByte
	n        int                   // number of bytes that the last readByte read; negative if it failed
	err      error                 // error of the last readByte
}

func newConn(tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{tcp: tcp, raw: raw}
	c.br = bufio.NewReader(tcp)
	c.bw = bufio.NewWriter(c)
	c.readByte = func(fd uintptr) bool {
		c.n, c.err = syscall.Read(int(fd), c.buf[:])
		return true
	}
	return c, nil
}

// Write writes to the connection and counts the bytes that the kernel accepted.
// After a failed write the count decides between "not run" and "unknown" (B3).
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.tcp.Write(b)
	c.written += int64(n)
	return n, err
}

// growBuffer replaces the read buffer by one of size bytes. The connection is not reused
// after that, so that idle connections do not keep large buffers.
func (c *conn) growBuffer(size int) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // cannot fail
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.tcp), size)
	c.grown = true
}

// alive reports whether an idle connection is open and has no byte to read. A byte to
// read would belong to the response to an earlier request. alive may consume it, so
// a connection that is not alive must be closed.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if err := c.raw.Read(c.readByte); err != nil {
		return false
	}
	return c.n < 0 && errors.Is(c.err, syscall.EAGAIN)
}

// send writes a request and reports whether any byte of it was written. It also sets
// end as the deadline for reading the response.
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

// receive reads one complete response with a body of at most limit bytes. The error
// wraps errBroken if the response is malformed or too long, or if its body is
// incomplete or has no announced length. If the connection ends or fails in the
// header, the error is that of headerError.
func (c *conn) receive(resp *fasthttp.Response, limit int) error {
	if err := dghttp.ReadHeader(c.br, &resp.Header); err != nil {
		return headerError(err)
	}
	if resp.Header.ContentLength() == lengthIdentity {
		return errBroken
	}
	chunked := resp.Header.ContentLength() < 0
	if err := resp.ReadBody(c.br, limit); err != nil {
		return wrapBroken(err)
	}
	if !chunked {
		return nil
	}
	if err := dghttp.ReadTrailer(c.br, &resp.Header); err != nil {
		return wrapBroken(err)
	}
	return nil
}

// headerError classifies an error from reading a header. EOF and connection errors
// are returned unchanged; any other error is wrapped in errBroken. It means that the
// received bytes are not a valid header, or that no byte arrived in time, which
// fasthttp reports as its own ErrTimeout.
func headerError(err error) error {
	var op *net.OpError
	if errors.Is(err, io.EOF) || errors.As(err, &op) {
		return err
	}
	return wrapBroken(err)
}

func wrapBroken(err error) error { return fmt.Errorf("%w: %w", errBroken, err) }

// reusable reports whether the connection may carry another request after the
// complete response resp (B4).
func (c *conn) reusable(resp *fasthttp.Response) bool {
	return !c.grown && !resp.ConnectionClose() && c.br.Buffered() == 0
}

// drain closes the sending side, reads until the backend server closes its side,
// and closes the connection. It stops reading at end or after limit bytes.
func (c *conn) drain(end time.Time, limit int) {
	if c.tcp.CloseWrite() == nil && c.tcp.SetReadDeadline(end) == nil {
		_, _ = io.CopyN(io.Discard, c.tcp, int64(limit))
	}
	_ = c.tcp.Close()
}
