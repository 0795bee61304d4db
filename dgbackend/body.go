package dgbackend

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync/atomic"

	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/valyala/fasthttp"
)

const (
	// maxForwardResponseBytes limits the body of a response, so that a faulty backend
	// server cannot exhaust the memory of a VM.
	maxForwardResponseBytes = 8 << 20
	// MaxResponseMemory limits the memory in bytes that the bodies of all responses of
	// a Forwarder take together. It leaves most of the memory of the smallest VMs,
	// which have 184 MB, to everything else.
	MaxResponseMemory = 32 << 20
	// freeBodyBytes is the size up to which the body of a response does not count
	// towards MaxResponseMemory, so that usual responses are read even while long ones
	// use it up.
	freeBodyBytes = 16 << 10
	// maxForwardHeadBytes limits the head of a response. The callers' heads have at most
	// 16 KB, and a response may repeat the request ID twice.
	maxForwardHeadBytes = 64 << 10
	// initialBodyBytes is the initial size of the buffer for the body of a response.
	initialBodyBytes = 512
)

// ErrResponseMemory means that a response was not read to its end because the responses
// that are being read or delivered use MaxResponseMemory together.
var ErrResponseMemory = errors.New("responses of backend servers use up the memory reserved for them")

// errBodyTooLong means that the body of a response exceeds maxForwardResponseBytes.
var errBodyTooLong = errors.New("response body too long")

// memoryPool counts the bytes in use out of a limit. It is safe for concurrent use.
type memoryPool struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes and reports whether the limit allows it.
func (p *memoryPool) reserve(n int64) bool {
	if p.used.Add(n) > p.limit {
		p.used.Add(-n)
		return false
	}
	return true
}

func (p *memoryPool) release(n int64) { p.used.Add(-n) }

// bodyReader reads the body of one response into memory that it reserves as the bytes
// arrive. A length that the backend server only announces reserves nothing.
type bodyReader struct {
	pool         *memoryPool
	buf          []byte
	reserved     int64
	headReserved int64 // for a head beyond the usual size
}

// read reads r to its end.
func (b *bodyReader) read(r io.Reader) error {
	b.buf = make([]byte, 0, initialBodyBytes)
	for {
		if len(b.buf) == cap(b.buf) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := r.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the buffer.
func (b *bodyReader) grow() error {
	size := 2 * cap(b.buf)
	if len(b.buf) >= maxForwardResponseBytes {
		return errBodyTooLong
	}
	if more := int64(size) - b.reserved; size > freeBodyBytes {
		if !b.pool.reserve(more) {
			return ErrResponseMemory
		}
		b.reserved += more
	}
	buf := make([]byte, len(b.buf), size)
	copy(buf, b.buf)
	b.buf = buf
	return nil
}

// release returns the reserved memory.
func (b *bodyReader) release() {
	if n := b.reserved + b.headReserved; n > 0 {
		b.pool.release(n)
		b.reserved, b.headReserved = 0, 0
	}
}

// receiveForward reads one complete response. framed is false if the response has
// no length and is delimited by the end of the connection. The caller must release
// body when it no longer needs the response.
func (c *conn) receiveForward(resp *fasthttp.Response, noBody bool, body *bodyReader) (framed bool, err error) {
	if err := c.readForwardHead(resp, body); err != nil {
		return false, err
	}
	status := resp.StatusCode()
	if noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return true, nil
	}
	length := resp.Header.ContentLength()
	switch {
	case length == lengthChunked:
		err = body.read(httputil.NewChunkedReader(c.br))
		if err == nil {
			err = noEOF(dghttp.ReadTrailer(c.br, &resp.Header))
		}
	case length == lengthIdentity:
		err = body.read(c.br)
	case length > maxForwardResponseBytes:
		err = errBodyTooLong
	default:
		err = body.read(io.LimitReader(c.br, int64(length)))
		if err == nil && len(body.buf) < length {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil {
		return false, wrapBroken(err)
	}
	resp.SetBodyRaw(body.buf)
	return length != lengthIdentity, nil
}

// readForwardHead reads the head of a response. The server echoes parts of the request, so
// that a head may be several times as long as the buffer that connections have.
func (c *conn) readForwardHead(resp *fasthttp.Response, body *bodyReader) error {
	for {
		err := dghttp.ReadHeader(c.br, &resp.Header)
		if err == nil {
			return nil
		}
		var small *fasthttp.ErrSmallBuffer
		size := 2 * c.br.Size()
		if !errors.As(err, &small) || size > maxForwardHeadBytes {
			return headerError(err)
		}
		more := int64(size) - body.headReserved
		if !body.pool.reserve(more) {
			return wrapBroken(ErrResponseMemory)
		}
		body.headReserved += more
		c.growBuffer(size)
	}
}

// noEOF replaces io.EOF by io.ErrUnexpectedEOF: a connection that ends within the
// trailer of a response truncates the response.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lengthChunked is the content length that fasthttp reports for a chunked body.
const lengthChunked = -1
