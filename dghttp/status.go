package dghttp

import (
	"bufio"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// ErrStatus means that the status line of a response does not have the status of a final
// response, which is a number of three digits from 200 to 599.
var ErrStatus = errors.New("invalid status")

const (
	firstFinalStatus, lastStatus = 200, 599
	// statusAt is the position of the status in a status line, and statusEnd the position
	// after it.
	statusAt, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	// maxEmptyLineBytes limits the empty lines before a status line.
	maxEmptyLineBytes = 16
)

// ReadHeader reads the head of a final response. Its error wraps ErrStatus if the status is
// not valid; fasthttp accepts any number and reports a status of 0 as 200.
func ReadHeader(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	status := peekStatus(br)
	if err := h.Read(br); err != nil {
		return err
	}
	if code := h.StatusCode(); code < firstFinalStatus || code > lastStatus || status != digits(code) {
		return fmt.Errorf("%w: %q", ErrStatus, status[:])
	}
	return nil
}

// digits returns the digits of a number from 100 to 999.
func digits(n int) [3]byte { return [3]byte{byte('0' + n/100), byte('0' + n/10%10), byte('0' + n%10)} }

// peekStatus returns the bytes at the position of the status. They are zero if the response
// ends before them, which ReadHeader reports then.
func peekStatus(br *bufio.Reader) (status [3]byte) {
	for range maxEmptyLineBytes {
		b, err := br.Peek(1)
		if err != nil || b[0] != '\r' && b[0] != '\n' {
			break
		}
		_, _ = br.Discard(1) // buffered
	}
	if b, err := br.Peek(statusEnd); err == nil {
		copy(status[:], b[statusAt:])
	}
	return status
}
