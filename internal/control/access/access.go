// Package access calls the leader of the control quorum from any instance.
package access

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/state"
)

const (
	// defaultTryTimeout limits one call to one control instance.
	defaultTryTimeout = 2 * time.Second
	// minPause and maxPause bound the mean pause before a call, once a first round of calls
	// to all control instances has failed. It doubles with each pause: many clients call
	// at the same time, and the control instances may be busy with an election.
	minPause = 50 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// Caller calls one control instance. If that instance does not lead, the error is
// snipefront.ErrNotLeader, and leader names the leader if it is known.
type Caller interface {
	Propose(ctx context.Context, address string, command []byte) (result []byte, leader string, err error)
	Read(ctx context.Context, address, what string, revision uint64) (text []byte, leader string, err error)
}

// Client finds the leader and calls it. Set the exported fields before use.
type Client struct {
	// Control returns the control instances, at least one.
	Control func() []snipefront.Instance
	Caller  Caller
	// TryTimeout limits one call to one control instance. Zero means 2 s.
	TryTimeout time.Duration

	// next is the index in Control of the instance to call next: the leader, if it is
	// known.
	next atomic.Int64
}

// Propose applies command, retrying until ctx ends, and decodes its result into
// result. After an error, the command may or may not have been applied.
func (c *Client) Propose(ctx context.Context, command state.Command, result any) error {
	b, err := command.Encode()
	if err != nil {
		return err
	}
	text, err := c.Submit(ctx, b)
	if err != nil {
		return err
	}
	return state.Decode(text, result)
}

// Submit applies an encoded command, retrying until ctx ends, and returns its
// result. After an error, the command may or may not have been applied.
func (c *Client) Submit(ctx context.Context, command []byte) ([]byte, error) {
	return c.retry(ctx, func(ctx context.Context, address string) ([]byte, string, error) {
		return c.Caller.Propose(ctx, address, command)
	})
}

// Read reads the report named what, for revision, from the leader and decodes it
// into result. It retries until ctx ends.
func (c *Client) Read(ctx context.Context, what string, revision uint64, result any) error {
	text, err := c.retry(ctx, func(ctx context.Context, address string) ([]byte, string, error) {
		return c.Caller.Read(ctx, address, what, revision)
	})
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(text, result), "decode the report of the leader")
}

// InstancesAt returns the control instances at the peer addresses. The name of each
// is its address.
func InstancesAt(addresses []string) []snipefront.Instance {
	var list []snipefront.Instance
	for _, a := range addresses {
		list = append(list, snipefront.Instance{Name: a, PeerAddress: a})
	}
	return list
}

// call calls the control instance at address and returns the result, and the
// leader if it is known.
type call func(ctx context.Context, address string) ([]byte, string, error)

// retry calls the control instances with f until a call succeeds or ctx ends: each of them
// once, and then one at a time after a pause. It calls an instance that another one names as
// the leader immediately.
func (c *Client) retry(ctx context.Context, f call) ([]byte, error) {
	pause := minPause
	followed := false
	for n := 1; ; n++ {
		list := c.Control()
		instance := list[int(c.next.Load())%len(list)]
		text, leader, err := c.attempt(ctx, f, instance.PeerAddress)
		if err == nil {
			return text, nil
		}
		named := c.setNext(list, leader)
		if ctx.Err() == nil && (n < len(list) || named && !followed) {
			followed = named
			continue
		}
		followed = false
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(err, "no answer from the control quorum")
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxPause)
	}
}

func (c *Client) attempt(ctx context.Context, f call, address string) ([]byte, string, error) {
	limit := c.TryTimeout
	if limit == 0 {
		limit = defaultTryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f(ctx, address)
}

// setNext makes the named leader the next instance to call, or the next one in
// list if the leader is unknown. It reports whether the leader is in list.
func (c *Client) setNext(list []snipefront.Instance, leader string) bool {
	for i, instance := range list {
		if instance.Name == leader {
			c.next.Store(int64(i))
			return true
		}
	}
	c.next.Store((c.next.Load() + 1) % int64(len(list)))
	return false
}
