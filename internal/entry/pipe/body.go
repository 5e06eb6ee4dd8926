package pipe

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// requestBytes is what a request takes beside its header and its body, in bytes: its
// goroutines and their buffers.
const requestBytes = 8 << 10

// noMemory returns the error of r, for which there is no memory, or none for its answer.
func (s *Server) noMemory(r *http.Request) error {
	return &refusal{request: r, answer: s.Handler.RefuseForMemory(r)}
}

// readContent reads the body of r, whose header has headerBytes, and returns the complete
// request. It takes the memory for the body before the caller is asked for it.
func (c *conn) readContent(ctx context.Context, r *http.Request, headerBytes int64, l snipefront.CallerLimits) (*Request, error) {
	if r.ContentLength > l.BodyBytes {
		return nil, errBodyTooLarge
	}
	whole := &Request{Request: r, taken: requestBytes + headerBytes + shortPart(r.ContentLength)}
	if c.server.Answers.Full() || !c.server.hold(whole) {
		return nil, c.server.noMemory(r)
	}
	content, err := c.readBody(ctx, r, l)
	if err != nil {
		c.server.release(whole)
		return nil, c.server.bodyError(r, err)
	}
	c.setReadTimeout(0)
	whole.Content, whole.Read = content, time.Now()
	return whole, nil
}

// hold takes what r holds beside a long body, and reports whether that is left. If it is not,
// hold ends the uploads that are behind.
func (s *Server) hold(r *Request) bool {
	if s.Bodies.TakeShort(r.taken) {
		return true
	}
	s.uploads.endBehind(time.Now())
	return false
}

// shortPart returns what a body of the given length takes as a short one, in bytes. The
// length is negative if it is unknown.
func shortPart(length int64) int64 {
	switch {
	case length < 0:
		return bound.ShortBytes
	case length > bound.ShortBytes:
		return 0
	}
	return length
}

// readBody reads the body of r. If there is no memory for it, it ends the uploads that are
// behind, and tries once more.
func (c *conn) readBody(ctx context.Context, r *http.Request, l snipefront.CallerLimits) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	u := &upload{conn: c, source: r.Body, size: r.ContentLength, timeout: l.IdleTimeout}
	u.continues = strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	defer c.server.uploads.remove(u)
	content, err := c.server.Bodies.ReadBody(ctx, u, r.ContentLength, l.BodyBytes)
	if errors.Is(err, bound.ErrNoMemory) && c.server.uploads.endBehind(time.Now()) && !u.begun() {
		content, err = c.server.Bodies.ReadBody(ctx, u, r.ContentLength, l.BodyBytes)
	}
	return content, err
}

// bodyError returns the error of r, whose body could not be read because of err.
func (s *Server) bodyError(r *http.Request, err error) error {
	switch {
	case errors.Is(err, bound.ErrTooBig):
		return errBodyTooLarge
	case errors.Is(err, bound.ErrNoMemory):
		return s.noMemory(r)
	}
	var malformed textproto.ProtocolError // of a trailer
	if errors.As(err, &malformed) {
		err = withoutContent(malformed)
	}
	return errors.Wrap(err, "read body")
}

// handle handles r. Its body ends then, and its answer is held until it is written.
func (s *Server) handle(ctx context.Context, r *Request) Answer {
	a := s.Handler.Handle(ctx, r)
	r.Content = nil
	s.Bodies.Collect()
	if n := int64(cap(a.Body)); n <= bound.ShortBytes {
		r.answerTaken = n
		s.Answers.AddShort(n)
	}
	return a
}

// release returns what r and its answer hold.
func (s *Server) release(r *Request) {
	r.Content = nil
	s.Bodies.ReturnShort(r.taken)
	s.Answers.ReturnShort(r.answerTaken)
	s.Answers.Collect()
}
