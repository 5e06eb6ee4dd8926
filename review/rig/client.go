package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// outcome is what a client has got for one attempt.
type outcome struct {
	status    int
	signature string
	header    http.Header
	body      string
	err       error
}

var attempts atomic.Int64

// newAttempt returns the id of a further attempt.
func newAttempt() string { return fmt.Sprintf("%016x", 0xa000000+attempts.Add(1)) }

// send sends one attempt to an edge on a new connection, as a client does, and returns the answer.
func (d *deployment) send(m *machine, method, host, path, id, body string, deadline time.Duration) outcome {
	d.rec.line("client sends %s to %s: %s %s%s %q", id, m.name, method, host, path, body)
	o := exchange(address(m.ip, portCallers), method, host, path, id, body, deadline)
	d.rec.line("client gets for %s: %d signature %q retry-after %q error %v", id, o.status, o.signature, o.header.Get("Retry-After"), o.err)
	return o
}

func exchange(to, method, host, path, id, body string, deadline time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err != nil {
		return outcome{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second)) // fails only on a closed connection
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n%s\r\n%s", method, path, host, id, deadline.Milliseconds(), length, body); err != nil {
		return outcome{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, signature: resp.Header.Get("Response-Signature"), header: resp.Header, body: string(b), err: err}
}
