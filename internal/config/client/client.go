// Package client calls the operators' HTTP API of the fleet.
//
// Every instance serves every call, so a Client has several addresses. If an address
// gives no response, an incomplete or malformed one, or a server error, the Client
// tries the next address. It starts over after the last one, until the context ends.
// Resending a change is safe, because the fleet accepts each ChangeID at most once.
//
// Each attempt uses a new connection and has its own timeout, because an instance may
// be unreachable and an open connection may be half-open.
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
	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/rpc/resets"
)

// Limits of a call.
const (
	// defaultAttemptTimeout is the timeout of one attempt at one address.
	defaultAttemptTimeout = 3 * time.Second
	// maxResponseBytes is the maximum number of bytes read of a response body.
	maxResponseBytes = 256 << 20
	// retryInterval is the shortest time between two rounds over all addresses.
	retryInterval = 100 * time.Millisecond
	// maxRetryAfter is the longest delay that a Retry-After header field can cause.
	maxRetryAfter = 2 * time.Second
	// pollInterval is the time between two checks whether a revision is in force.
	pollInterval = 100 * time.Millisecond
)

// Client calls the operators' HTTP API. Its fields must not change after the first
// call.
type Client struct {
	// Addresses holds the operator address (host:port) of at least one instance.
	Addresses []string
	// AttemptTimeout is the timeout of one attempt at one address. Zero means 3 s.
	AttemptTimeout time.Duration
}

// Config returns the accepted folder of intents with its revision.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var config Config
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &config)
	return config, err
}

// History returns the accepted changes that the fleet still stores, oldest first.
func (c *Client) History(ctx context.Context) (History, error) {
	var history History
	err := c.call(ctx, http.MethodGet, "/v1/config/history", nil, &history)
	return history, err
}

// Status returns the state of the fleet as one instance knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Apply proposes a change and returns the result once it is accepted. The error is a
// *ConflictError or a *RefusedError if the fleet did not accept the change. After any
// other error the change may or may not have been accepted, and resending the same
// change is safe.
func (c *Client) Apply(ctx context.Context, change Change) (Accepted, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return Accepted{}, errors.Wrap(err, "encode change")
	}
	var accepted Accepted
	err = c.call(ctx, http.MethodPost, "/v1/config", body, &accepted)
	return accepted, err
}

// WaitInForce polls until revision is in force everywhere, and then returns nil. If
// ctx ends first, it returns a *NotInForceError with the last known state.
func (c *Client) WaitInForce(ctx context.Context, revision uint64) error {
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}}
	notInForce := &NotInForceError{Revision: revision}
	for {
		var inForce InForce
		err := c.call(ctx, http.MethodGet, "/v1/config/inforce?"+query.Encode(), nil, &inForce)
		switch {
		case err == nil && inForce.InForce:
			return nil
		case err == nil:
			notInForce.Waiting = inForce.Waiting
		case ctx.Err() == nil:
			return err
		}
		if !timer.Sleep(ctx, pollInterval) {
			return notInForce
		}
	}
}

// call sends the request to one address after another until one gives a final
// response or ctx ends. A response is final unless it is incomplete, malformed or a
// server error.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	if len(c.Addresses) == 0 {
		return errors.New("no addresses: want host:port of at least one instance")
	}
	for {
		wait := retryInterval
		var lastErr error
		for _, a := range c.Addresses {
			err := c.attempt(ctx, method, "http://"+a+path, body, into)
			var retryable *retryableError
			if !errors.As(err, &retryable) {
				return err
			}
			wait = max(wait, min(retryable.retryAfter, maxRetryAfter))
			lastErr = errors.Wrap(err, a)
		}
		if !timer.Sleep(ctx, wait) {
			return errors.Wrap(lastErr, "no final response in time")
		}
	}
}

// attempt sends the request once. It returns a *retryableError if another attempt may
// get a final response.
func (c *Client) attempt(ctx context.Context, method, requestURL string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.AttemptTimeout, defaultAttemptTimeout))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	transport := heads.Transport{Base: &http.Transport{DialContext: resets.Dialer(0), DisableKeepAlives: true}}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return &retryableError{cause: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &retryableError{cause: err}
	}
	return decode(response, content, into)
}

// decode decodes a complete response into the value to which into points, or returns
// the error that the response stands for.
func decode(response *http.Response, content []byte, into any) error {
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		if err := json.Unmarshal(content, into); err != nil {
			return &retryableError{cause: err}
		}
		return nil
	case status == http.StatusConflict:
		conflict := new(ConflictError)
		if err := json.Unmarshal(content, conflict); err != nil {
			return &retryableError{cause: err}
		}
		return conflict
	case status >= http.StatusInternalServerError:
		return &retryableError{
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

// detail returns the field Detail of the JSON body of an error response, or the
// truncated body if it is not a JSON object.
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
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}
