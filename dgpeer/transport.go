package dgpeer

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// errField means that a response has a field whose name is not valid.
var errField = errors.New("invalid header field")

// strictTransport rejects responses with spaces in the names of fields, which net/http
// accepts. A length under such a name would be ignored, and a reply that the connection cut
// off would count as complete.
type strictTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t strictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			_ = resp.Body.Close() // the response is not used
			return nil, fmt.Errorf("%w: %.100q", errField, name)
		}
	}
	return resp, nil
}
