package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt and what came of it.
type call struct {
	id           string
	sentAt       time.Time // when the last byte was sent
	doneAt       time.Time
	status       int // 0: no complete answer
	stamp        string
	body         []byte
	err          error
	closedByPeer bool // the connection ended although the client still waited
}

// clientConn is a connection of a client. It carries one request at a time.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

// connectTimeout is how long clients wait for a new connection.
const connectTimeout = time.Second

func dialClient(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// send sends a request and waits for its answer until the deadline and a second more. keep
// reports whether the connection may carry another request.
func (c *clientConn) send(id, method, path, body string, deadline time.Duration) (out call, keep bool) {
	out.id = id
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n", method, path, headerID, id, headerDeadline, deadline.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.Copy(c, strings.NewReader(head+"\r\n"+body)); err != nil {
		out.err, out.doneAt = err, time.Now()
		return out, false
	}
	out.sentAt = time.Now()
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err == nil {
		out.body, err = io.ReadAll(resp.Body)
	}
	out.doneAt = time.Now()
	if err != nil {
		out.err = err
		var timeout net.Error
		out.closedByPeer = !errors.As(err, &timeout) || !timeout.Timeout()
		return out, false
	}
	out.status, out.stamp = resp.StatusCode, resp.Header.Get(headerStamp)
	return out, !resp.Close
}
