package dghttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// ErrField means that the head or the trailer of a response has a line that is not a field
// with a valid name.
var ErrField = errors.New("invalid header field")

// ReadTrailer reads the trailer of a chunked response. Its error wraps ErrField if the name of
// a field is not valid.
func ReadTrailer(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	var fieldErr error
	if b, err := br.Peek(2); err == nil && string(b) != "\r\n" {
		fieldErr = checkFields(peekBlock(br)) // before fasthttp joins folded lines in the buffer
	}
	if err := h.ReadTrailer(br); err != nil {
		return err
	}
	return fieldErr
}

// blockEnd ends the head of a response and a trailer that has fields.
const blockEnd = "\r\n\r\n"

// peekBlock returns the bytes of br up to blockEnd. It returns nil if the buffer is too small
// for them or if reading fails, which fasthttp reports when it reads them.
func peekBlock(br *bufio.Reader) []byte {
	searched := 0
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return nil
		}
		b, _ := br.Peek(br.Buffered()) // cannot fail
		if i := bytes.Index(b[searched:], []byte(blockEnd)); i >= 0 {
			return b[:searched+i+len(blockEnd)]
		}
		searched = max(0, len(b)-len(blockEnd)+1)
	}
}

// checkFields returns an error that wraps ErrField unless lines are fields with valid names,
// ended by an empty line; fasthttp accepts spaces in names. A line that begins with a space or
// a tab is rejected even if it is meant as a folded line, which cannot be told; RFC 9112,
// section 5.2, lets a gateway reject such responses.
func checkFields(lines []byte) error {
	for len(lines) > 0 {
		line, rest, _ := bytes.Cut(lines, []byte("\n"))
		line, lines = bytes.TrimSuffix(line, []byte("\r")), rest
		if len(line) == 0 {
			return nil
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return fmt.Errorf("%w: %.100q", ErrField, name)
		}
	}
	return fmt.Errorf("%w: no empty line after the fields", ErrField)
}
