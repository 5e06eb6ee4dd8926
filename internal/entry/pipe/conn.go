package pipe

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// conn is a connection from a caller. It is idle, or a request on it is being read, or requests
// are pending: read, and not answered completely. While it is closing, it admits no further
// request, and closes behind the answer to the last pending one. Then it is read on until the
// caller closes it, too.
type conn struct {
	net.Conn
	server *Server
	// opened is when the connection was accepted.
	opened time.Time
	// source keeps the error of the last read.
	source source
	// limited bounds the bytes that reader reads for the header of a request.
	limited io.LimitedReader
	reader  *bufio.Reader
	// writing is held while an answer is written.
	writing sync.Mutex

	mu sync.Mutex
	// pending holds the requests whose answer is not written completely, in the order
	// of their answers.
	pending []*Request
	// closing is true once the connection closes after the pending answers. No
	// further request is admitted, so the caller can safely resend it elsewhere.
	closing bool
	// staysOpen is true while an answer is written that doesn't close the connection.
	staysOpen bool
	// reading is true from the first byte of a request until it is admitted or dropped.
	reading bool
	// used is true from the first byte of the first request.
	used bool
	// stopped is true once no further request is read.
	stopped bool
}

// exchange is a request with a channel for its answer.
type exchange struct {
	request *Request
	answer  chan Answer
}

// serve serves the connection until it is closed. The end of ctx cancels its requests.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.Close()
	c.source.Reader = c.Conn
	c.limited = io.LimitedReader{R: &c.source}
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	exchanges := make(chan exchange, maxPipelined)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeAnswers(ctx, exchanges)
	}()
	if c.readRequests(ctx, exchanges) {
		// The caller is still connected: read and drop what it sends until the last
		// answer is written and the connection is closed.
		c.setReadTimeout(0)
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	cancel()
	close(exchanges)
	<-writerDone
}

// readRequests reads requests and starts a goroutine to handle each. It returns false
// when the caller has disconnected, and true when a pending answer will close the
// connection.
func (c *conn) readRequests(ctx context.Context, exchanges chan<- exchange) bool {
	for {
		r, err := c.readRequest(ctx)
		if err != nil {
			return c.answerError(err, exchanges)
		}
		if !c.admit(r, r.Close) {
			c.server.release(r)
			return true
		}
		x := exchange{request: r, answer: make(chan Answer, 1)}
		go func() { x.answer <- c.server.handle(ctx, r) }()
		exchanges <- x
		if r.Close {
			return true
		}
	}
}

// admit makes r pending and reports whether it did. If last is true, no request is
// admitted after this one. None is admitted once the connection is closing, nor behind a
// pending one while the server drains, if the answer to that can still say that the
// connection closes: its caller sends it again elsewhere.
func (c *conn) admit(r *Request, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	draining := c.server.Draining()
	if draining && len(c.pending) > 0 && !c.lastStaysOpen() {
		c.closing = true
	}
	if c.closing {
		return false
	}
	c.closing = last || draining
	c.pending = append(c.pending, r)
	return true
}

// isLast reports whether the answer that is written next is the last one of the
// connection. closes is the Close field of the answer.
func (c *conn) isLast(closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 1 && (closes || c.server.Draining()) {
		c.closing = true
	}
	last := c.closing && len(c.pending) == 1
	c.staysOpen = !last
	return last
}

// lastStaysOpen reports whether the answer to the only pending request is being written, and
// doesn't close the connection.
func (c *conn) lastStaysOpen() bool { return len(c.pending) == 1 && c.staysOpen }

// finish removes the first pending request, whose answer has been written, or can't be
// any more. It reports whether the connection closes now.
func (c *conn) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.release(c.pending[0])
	c.pending[0] = nil // an idle connection keeps the array, but no request
	c.pending = c.pending[1:]
	c.staysOpen = false
	return c.closing && len(c.pending) == 0
}

// unanswered returns the pending requests.
func (c *conn) unanswered() []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.pending)
}

// closeIfIdle closes the connection if it has no pending request and none is being read,
// and reports whether it did. A connection that closes after its last answer does so by
// itself. One that has just been accepted isn't idle: its caller opened it for a request.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := !c.used && time.Since(c.opened) < acceptTime
	if len(c.pending) > 0 || c.closing || c.reading || isNew {
		return false
	}
	c.closing = true
	c.Close()
	return true
}
