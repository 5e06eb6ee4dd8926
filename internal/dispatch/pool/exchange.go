package pool

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/rpc/pace"
)

const (
	// maxInlineBody is the maximum length of a body that is sent before the answer is
	// read, in bytes.
	maxInlineBody = 16 << 10
	// maxMismatched is the number of answers to other requests that make an exchange
	// fail.
	maxMismatched = 4
)

// Exchange is a request and its answer on one connection.
type Exchange struct {
	// Head is the request line and header, with the empty line.
	Head []byte
	Body []byte
	// Method is that of the request.
	Method string
	// IDField and ID are the name and the value of the header field that the answer
	// must echo. An empty IDField accepts any answer. A connection isn't reused after a
	// request with an empty ID.
	IDField string
	ID      string
	// MaxBytes is the maximum length of the body of the answer, in bytes.
	MaxBytes int64
	// Memory bounds the bodies of all answers that are held. It may be nil.
	Memory *bound.Memory
	// Shaper bounds the rate of long answers. It may be nil.
	Shaper *pace.Shaper

	// Heard is called with the head of each answer, those to other requests included, before
	// its body is read. It may be nil.
	Heard func(status int, h http.Header)

	// Response holds the status and header of the answer. Its Body is closed.
	Response *http.Response
	// Answer is the complete body of the answer.
	Answer []byte
	// Begun is true once a byte of an answer has arrived.
	Begun bool
	// Sent is true if the whole request had been sent when the answer was complete.
	Sent bool
}

// Errors of an exchange.
var (
	ErrMismatch = errors.New("answers to other requests")
	ErrClosed   = errors.New("connection closed without an answer")
)

// Do sends e on c and reads the answer. It reports whether c can be reused, and
// closes c if not. When ctx ends before the answer, Do closes c and fails.
func (e *Exchange) Do(ctx context.Context, c *Conn) (reusable bool, err error) {
	mayReuse := e.IDField == "" || c.carry(e.ID)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		if !stop() || !mayReuse {
			reusable = false
		}
		if !reusable {
			c.Close()
		}
	}()
	written, err := e.write(c)
	if err != nil {
		return false, err
	}
	reusable, err = e.read(ctx, c)
	select {
	case w := <-written:
		e.Sent = w == nil
		return reusable && w == nil, err
	default:
		// The rest of the body is not sent yet, so no other request may use c.
		return false, err
	}
}

// write sends the request. A body longer than maxInlineBody is sent in the background,
// since the answer may arrive before the backend server has read all of it. The
// channel receives the result of the write.
func (e *Exchange) write(c *Conn) (<-chan error, error) {
	done := make(chan error, 1)
	if len(e.Body) <= maxInlineBody {
		b := net.Buffers{e.Head}
		if len(e.Body) > 0 {
			b = append(b, e.Body)
		}
		err := c.WriteBuffers(b)
		done <- err
		if err != nil && c.Reused {
			return nil, errors.Wrap(err, "write")
		}
		return done, nil
	}
	go func() {
		done <- c.WriteBuffers(net.Buffers{e.Head, e.Body})
	}()
	return done, nil
}

// read reads the answer that echoes the request's id and discards answers to other
// requests.
func (e *Exchange) read(ctx context.Context, c *Conn) (reusable bool, err error) {
	for range maxMismatched {
		reusable, err = e.readOne(ctx, c)
		if err != nil {
			return false, err
		}
		if e.IDField == "" || echoes(e.Response.Header.Values(e.IDField), e.ID) {
			return reusable && c.reader.Buffered() == 0, nil
		}
		if !reusable {
			break
		}
	}
	e.Response = nil
	return false, ErrMismatch
}

// echoes reports whether the ids of an answer name the request with the id and no other.
func echoes(ids []string, id string) bool {
	isOther := func(v string) bool { return v != id }
	return !slices.ContainsFunc(ids, isOther) && (len(ids) > 0 || id == "")
}

// readOne reads the next answer with a status of 200 or more, whatever its request.
func (e *Exchange) readOne(ctx context.Context, c *Conn) (reusable bool, err error) {
	resp, err := e.readHead(c)
	if err != nil {
		return false, err
	}
	if e.Heard != nil {
		e.Heard(resp.StatusCode, resp.Header)
	}
	body, err := e.Memory.ReadBody(ctx, e.Shaper.Reader(ctx, resp.Body), bodyLength(resp), e.MaxBytes)
	if err != nil {
		// Closing the body alone would first read the rest of it.
		c.Close()
		return false, errors.Wrap(err, "read body of answer")
	}
	_ = resp.Body.Close()
	if err := heads.CheckFields(resp.Trailer); err != nil {
		return false, errors.Wrap(err, "read trailer of answer")
	}
	e.Response = resp
	e.Answer = body
	c.heard = time.Now()
	c.idleTimeout = idleTimeoutOf(resp.Header.Get("Keep-Alive"))
	return !resp.Close, nil
}

// bodyLength returns the length of the body of resp, or -1 if the head doesn't tell it.
func bodyLength(resp *http.Response) int64 {
	if resp.Request.Method == http.MethodHead {
		return -1
	}
	return resp.ContentLength
}

// idleTimeoutOf returns how long a connection may be idle: idleMargin less than the
// timeout in the Keep-Alive field of its last answer, but at least a quarter of
// idleMargin and at most defaultIdleTimeout.
func idleTimeoutOf(field string) time.Duration {
	for _, part := range strings.Split(field, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(k, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s > 0 {
			timeout := time.Duration(min(s, maxIdleSeconds)) * time.Second
			return min(defaultIdleTimeout, max(timeout-idleMargin, idleMargin/4))
		}
	}
	return defaultIdleTimeout
}
