package dgedge

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"dandeliongap.example/dandeliongap/dgbalance"
	"github.com/valyala/fasthttp"
)

// Heads up to these sizes are accepted by common HTTP servers.
const (
	usualHeadBytes = 8000
	usualHeadLines = 100
)

// tokenSymbols are the characters of a header name besides letters and digits (RFC 9110,
// section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

// invalidName returns a header name that is not a token, or "" if there is none. fasthttp
// accepts spaces in names, which servers refuse.
func invalidName(h *fasthttp.RequestHeader) string {
	for name := range h.All() {
		for _, c := range name {
			letter := c|' ' >= 'a' && c|' ' <= 'z'
			if !letter && (c < '0' || c > '9') && strings.IndexByte(tokenSymbols, c) < 0 {
				return string(name)
			}
		}
	}
	return ""
}

// unusualHead reports whether servers may refuse a head that the protocol allows, or fail on
// it: because of its size, bytes that are not ASCII, its path or its method.
func unusualHead(h *fasthttp.RequestHeader, head []byte) bool {
	if len(head) > usualHeadBytes || countLines(head) > usualHeadLines {
		return true
	}
	if bytes.ContainsFunc(head, func(r rune) bool { return r > '~' || r < ' ' && r != '\r' && r != '\n' }) {
		return true
	}
	if _, err := url.ParseRequestURI(string(h.RequestURI())); err != nil {
		return true
	}
	return !usualMethod(string(h.Method()))
}

func usualMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// rejected reports whether a response without a stamp says that the HTTP server of a replica
// does not accept the request as it is. It says nothing about how the replica serves others.
func (ex *execution) rejected(resp *fasthttp.Response) bool {
	if len(resp.Header.Peek(ex.e.opt.Dialect.Backend.ServerStamp)) > 0 {
		return false
	}
	switch resp.StatusCode() {
	case fasthttp.StatusBadRequest, fasthttp.StatusMethodNotAllowed, fasthttp.StatusLengthRequired, fasthttp.StatusRequestEntityTooLarge,
		fasthttp.StatusRequestURITooLong, fasthttp.StatusExpectationFailed, fasthttp.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return false
}

// failure returns what a failed attempt says about its replica. If the head is unusual, the
// cause may be the request. Ordinary requests show whether the replica fails.
func (ex *execution) failure() dgbalance.Result {
	if ex.req.unusual {
		return dgbalance.Rejected
	}
	return dgbalance.Failed
}
