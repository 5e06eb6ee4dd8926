// Package client calls the operators' HTTP interface of the fleet.
//
// Any instance answers any call, so a Client has several addresses and takes
// the next one where an address gives no answer, an unfinished one or a server
// error. It goes round its addresses until the context ends. That is safe for
// changes as well, because a change carries an ID under which the fleet
// accepts it at most once.
//
// Each attempt uses a new connection and has its own time limit, since an
// instance may be cut off and an open connection may have gone silent.
package client

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
)

// Limits of a call.
const (
	// defaultAttemptTimeout is the time for one attempt at one address.
	defaultAttemptTimeout = 3 * time.Second
	// maxAnswerBytes is the most bytes that are read of an answer.
	maxAnswerBytes = 256 << 20
	// retryPause is the time between two rounds over all addresses.
	retryPause = 100 * time.Millisecond
	// maxRetryPause bounds the Retry-After that is followed.
	maxRetryPause = 2 * time.Second
	// pollPause is the time between two questions whether a revision is in force.
	pollPause = 100 * time.Millisecond
)

// Client calls the operators' interface. Its fields are set before the first
// call and not changed after.
type Client struct {
	// Addresses are host:port of the operators' interface of instances. At
	// least one.
	Addresses []string
	// AttemptTimeout is the time for one attempt at one address. Zero is 3 s.
	AttemptTimeout time.Duration
}

// Config returns the accepted folder.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var answer Config
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &answer)
	return answer, err
}

// History returns the changes that the fleet remembers, oldest first.
func (c *Client) History(ctx context.Context) (History, error) {
	var answer History
	err := c.call(ctx, http.MethodGet, "/v1/config/history", nil, &answer)
	return answer, err
}

// Status returns the view that one instance has of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var answer Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &answer)
	return answer, err
}

// Apply proposes a change and returns how it was accepted. The error is a
// *ConflictError or a *RefusedError where the fleet has decided against it.
// After any other error the change may or may not be accepted, and the same
// change may be sent again.
func (c *Client) Apply(ctx context.Context, change Change) (Accepted, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return Accepted{}, errors.Wrap(err, "encode change")
	}
	var answer Accepted
	err = c.call(ctx, http.MethodPost, "/v1/config", body, &answer)
	return answer, err
}

// WaitInForce returns nil once revision is in force everywhere. Where ctx ends
// before, it returns a *WaitingError with what was last heard.
func (c *Client) WaitInForce(ctx context.Context, revision uint64) error {
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}}
	last := &WaitingError{Revision: revision}
	for {
		var answer InForce
		err := c.call(ctx, http.MethodGet, "/v1/config/inforce?"+query.Encode(), nil, &answer)
		switch {
		case err == nil && answer.InForce:
			return nil
		case err == nil:
			last.Waiting = answer.Waiting
		case ctx.Err() == nil:
			return err
		}
		if !timer.Sleep(ctx, pollPause) {
			return last
		}
	}
}

// call sends the request to one address after another until one gives a final
// answer or ctx ends.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	if len(c.Addresses) == 0 {
		return errors.New("no address to call")
	}
	for {
		wait := retryPause
		var last error
		for _, a := range c.Addresses {
			err := c.attempt(ctx, method, "http://"+a+path, body, into)
			var u *unavailableError
			if !errors.As(err, &u) {
				return err
			}
			wait = max(wait, min(u.retryAfter, maxRetryPause))
			last = errors.Wrap(err, a)
		}
		if !timer.Sleep(ctx, wait) {
			return errors.Wrap(last, "no final answer in time")
		}
	}
}

// attempt sends the request once. An *unavailableError says that another
// attempt may bring an answer.
func (c *Client) attempt(ctx context.Context, method, target string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.AttemptTimeout, defaultAttemptTimeout))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return &unavailableError{cause: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &unavailableError{cause: err}
	}
	return decode(response, content, into)
}

// decode turns a whole answer into a value or an error.
func decode(response *http.Response, content []byte, into any) error {
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		if err := json.Unmarshal(content, into); err != nil {
			return &unavailableError{cause: err}
		}
		return nil
	case status == http.StatusConflict:
		conflict := new(ConflictError)
		if err := json.Unmarshal(content, conflict); err != nil {
			return &unavailableError{cause: err}
		}
		return conflict
	case status >= http.StatusInternalServerError:
		return &unavailableError{
			cause:      fmt.Errorf("%s: %s", response.Status, detail(content)),
			retryAfter: retryAfter(response.Header),
		}
	default:
		refused := &RefusedError{Status: status, Detail: detail(content)}
		if err := json.Unmarshal(content, refused); err != nil {
			refused.Problems = nil
		}
		return refused
	}
}

// detail returns the field Detail of an error's body, or the body itself.
func detail(content []byte) string {
	var body struct{ Detail string }
	if json.Unmarshal(content, &body) == nil {
		return body.Detail
	}
	return string(bytes.TrimSpace(content[:min(len(content), maxDetailBytes)]))
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryPause/time.Second))) * time.Second
}
