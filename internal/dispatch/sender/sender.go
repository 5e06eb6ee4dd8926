// Package sender sends one attempt of a request to a backend server and tells
// whether it may have run.
//
// A connection carries one request at a time. The sender counts a request as
// not run only where no connection was established, where the connection was
// sealed before the first byte was written, or where the answer's status is one
// by which the service's backend servers refuse. The standard transport sends
// some requests again by itself when a reused connection fails; every request
// therefore carries a body that cannot be rewound, which forbids that.
package sender

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/watch"
)

// TimeoutHeader carries the time left for an answer, in milliseconds.
const TimeoutHeader = "X-Request-Timeout"

const (
	dialTimeout  = 250 * time.Millisecond
	idleTimeout  = 30 * time.Second
	idlePerHost  = 64
	headerLimit  = 64 << 10
	bufferLength = 16 << 10
)

// Sender sends attempts. Set the exported fields before use.
type Sender struct {
	// MaxAnswerBytes bounds the body of an answer that is held.
	MaxAnswerBytes int64

	transports sync.Map
}

// Attempt is what became of one attempt.
type Attempt struct {
	// Response is set where Verdict is Ran.
	Response *snipefront.Response
	Verdict  snipefront.Verdict
	// Reason is set where there is no response.
	Reason snipefront.Reason
	// Err is the cause where there is no response.
	Err error
}

// Send sends r to b and waits for the whole answer. The statuses in refusals
// mean that b refused before running.
func (s *Sender) Send(ctx context.Context, b snipefront.BackendServer, r *snipefront.Request, refusals []int) Attempt {
	var probe watch.Probe
	req, err := build(probe.With(ctx), b, r)
	if err != nil {
		return Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonBadRequest, Err: err}
	}
	resp, err := s.transport(b).RoundTrip(req)
	if err != nil {
		return failed(&probe, err)
	}
	defer resp.Body.Close()
	return s.read(b, resp, refusals)
}

// Forget closes the idle connections to b.
func (s *Sender) Forget(b snipefront.BackendServer) {
	if t, ok := s.transports.LoadAndDelete(b.Address); ok {
		t.(*http.Transport).CloseIdleConnections()
	}
}

// failed returns the attempt that p watched.
func failed(p *watch.Probe, err error) Attempt {
	if !p.Wrote() {
		return Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonConnect, Err: err}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Attempt{Reason: snipefront.ReasonAttemptLate, Err: err}
	}
	return Attempt{Reason: snipefront.ReasonBrokenAnswer, Err: err}
}

// read reads the whole answer.
func (s *Sender) read(b snipefront.BackendServer, resp *http.Response, refusals []int) Attempt {
	for _, st := range refusals {
		if resp.StatusCode == st {
			_, _ = io.CopyN(io.Discard, resp.Body, headerLimit)
			return Attempt{
				Verdict: snipefront.NotRun,
				Reason:  snipefront.ReasonShed,
				Err:     errors.Errorf("backend server %s refused with status %d", b.Name, st),
			}
		}
	}
	body, err := s.readBody(resp)
	if err != nil {
		return Attempt{Reason: reasonOf(err), Err: err}
	}
	return Attempt{
		Verdict:  snipefront.Ran,
		Response: &snipefront.Response{Status: resp.StatusCode, Header: resp.Header, Body: body, BackendServer: b.Name},
	}
}

var (
	errTooBig   = errors.New("answer over the size limit")
	errNoLength = errors.New("answer without a length cannot be known to be whole")
)

func reasonOf(err error) snipefront.Reason {
	switch {
	case errors.Is(err, errTooBig):
		return snipefront.ReasonAnswerTooBig
	case errors.Is(err, context.DeadlineExceeded):
		return snipefront.ReasonAttemptLate
	default:
		return snipefront.ReasonBrokenAnswer
	}
}

func (s *Sender) readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > s.MaxAnswerBytes {
		return nil, errTooBig
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	if len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.MaxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > s.MaxAnswerBytes {
		return nil, errTooBig
	}
	return body, nil
}

// once is a body that cannot be read a second time, so that the transport never
// sends a request again by itself.
type once struct {
	*bytes.Reader
}

// Close implements io.Closer.
func (once) Close() error { return nil }

func build(ctx context.Context, b snipefront.BackendServer, r *snipefront.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	target.Scheme = "http"
	target.Host = b.Address
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(TimeoutHeader, strconv.FormatInt(max(1, time.Until(r.Deadline).Milliseconds()), 10))
	req := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          b.Address,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          once{bytes.NewReader(r.Body)},
		ContentLength: int64(len(r.Body)),
	}
	return req.WithContext(ctx), nil
}

// transport returns the connections to b.
func (s *Sender) transport(b snipefront.BackendServer) *http.Transport {
	if t, ok := s.transports.Load(b.Address); ok {
		return t.(*http.Transport)
	}
	t := &http.Transport{
		DialContext:            watch.Dialer(dialTimeout),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
		WriteBufferSize:        bufferLength,
		ReadBufferSize:         bufferLength,
	}
	old, loaded := s.transports.LoadOrStore(b.Address, t)
	if loaded {
		return old.(*http.Transport)
	}
	return t
}
