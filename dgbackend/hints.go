package dgbackend

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// MaxRetryAfter limits the Retry-After of a backend server. A server that asks for more
// is asked again after this time.
const MaxRetryAfter = 10 * time.Minute

// readHints sets the fields of the reply that tell what the instance wants of this
// client from now on.
func (f *Forwarder) readHints(r *Reply, resp *fasthttp.Response) {
	leaving := strings.TrimSpace(string(resp.Header.Peek(f.names.Leaving)))
	r.Leaving = leaving != "" && leaving != "0"
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		r.RetryAfterText = string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
		r.RetryAfter = parseRetryAfter(r.RetryAfterText)
	}
}

// parseRetryAfter parses a number of seconds, which may have a fraction. It returns at
// most MaxRetryAfter, and 0 for a text that is negative or not a number.
func parseRetryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if math.IsNaN(s) || s <= 0 || err != nil && !math.IsInf(s, 1) {
		return 0
	}
	if s >= MaxRetryAfter.Seconds() {
		return MaxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
