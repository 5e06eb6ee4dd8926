package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	outerID, innerID = "00000000000000aa", "00000000000000bb"
	// answerTime is how long the caller reads answers.
	answerTime = 2 * time.Second
)

// smuggle sends each entry instance a request whose body is the text of another request. If trouble
// is true, the field with the length of the body has a blank before its colon, which RFC 9112,
// section 5.1, has a server refuse with 400. It returns how often the backend server has run the
// request in the body, and the number of answers to the callers.
func (d *deployment) smuggle(ctx context.Context, trouble bool) (broken, seen int) {
	field := "Content-Length:"
	if trouble {
		field = "Content-Length :"
	}
	for _, e := range d.edges {
		inner := fmt.Sprintf("GET %sinner HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: 1000\r\n\r\n", oldPrefix, host, innerID)
		text := fmt.Sprintf("POST %souter HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: 1000\r\n%s %d\r\n\r\n%s",
			oldPrefix, host, outerID, field, len(inner), inner)
		before := d.target.runs(innerID)
		d.rec.printf("sent to %s: %q", e.name, text)
		seen += d.sendRaw(ctx, e, text)
		n := d.target.runs(innerID) - before
		d.rec.printf("%s has run the request in the body %d times", targetName, n)
		broken += n
	}
	return broken, seen
}

// sendRaw sends text on a connection of its own and returns the number of answers.
func (d *deployment) sendRaw(ctx context.Context, e *machine, text string) int {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", d.frontendOf(e))
	if err != nil {
		d.rec.printf("no connection: %v", err)
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerTime)) // fails only if the connection is closed
	if _, err := io.WriteString(c, text); err != nil {
		d.rec.printf("not sent: %v", err)
		return 0
	}
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return n
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		d.rec.printf("the caller gets status %d for request %q, body %q, error %v", resp.StatusCode, resp.Header.Get("Attempt-Id"), body, err)
	}
}
