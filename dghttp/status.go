package dghttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// ErrStatus means that the status line of a response does not have the status of a final
// response, which is a number of three digits from 200 to 599, or that it has a control
// character.
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
// not valid, as fasthttp accepts any number and reports a status of 0 as 200, and ErrField if
// the name of a field is not valid.
func ReadHeader(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	status := peekStatus(br)
	code := finalStatus(status)
	var headErr error
	if code != 0 { // otherwise the response is rejected without waiting for the rest of its head
		headErr = checkHead(peekBlock(br)) // before fasthttp joins folded lines in the buffer
	}
	if err := h.Read(br); err != nil {
		return err
	}
	if code == 0 || h.StatusCode() != code {
		return fmt.Errorf("%w: %q", ErrStatus, status[:])
	}
	return headErr
}

// checkHead checks what fasthttp does not: the characters of the status line and the names of
// the fields.
func checkHead(head []byte) error {
	line, fields, _ := bytes.Cut(head, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !httpguts.ValidHeaderFieldValue(string(line)) {
		return fmt.Errorf("%w: %.100q", ErrStatus, line)
	}
	return checkFields(fields)
}

// finalStatus returns the status of a final response, or 0 if the digits are not one.
func finalStatus(digits [3]byte) int {
	code, err := strconv.ParseUint(string(digits[:]), 10, 16)
	if err != nil || code < firstFinalStatus || code > lastStatus {
		return 0
	}
	return int(code)
}

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
