// Package access reaches the leader of the control quorum from any instance.
package access

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/state"
)

const (
	// defaultTryTimeout bounds one call to one control instance.
	defaultTryTimeout = 2 * time.Second
	// pause is the time between rounds over all control instances.
	pause = 50 * time.Millisecond
)

// Caller calls one control instance. It returns snipefront.ErrNotLeader and the
// leader, where known, from one that does not lead.
type Caller interface {
	Propose(ctx context.Context, address string, command []byte) (result []byte, leader string, err error)
	Read(ctx context.Context, address, what string, revision uint64) (text []byte, leader string, err error)
}

// Access finds the leader and asks it. Set the exported fields before use.
type Access struct {
	// Control returns the control instances. At least one.
	Control func() []snipefront.Instance
	Caller  Caller
	// TryTimeout bounds one call to one control instance. Zero means 2 s.
	TryTimeout time.Duration

	// target is the place in Control of the last known leader.
	target atomic.Int64
}

// Propose applies c, resending it until ctx ends, and decodes the result into
// result. After an error c may or may not be applied.
func (a *Access) Propose(ctx context.Context, c state.Command, result any) error {
	b, err := c.Encode()
	if err != nil {
		return err
	}
	text, err := a.Submit(ctx, b)
	if err != nil {
		return err
	}
	return state.Decode(text, result)
}

// Submit applies an encoded command, resending it until ctx ends, and returns its
// result. After an error it may or may not be applied.
func (a *Access) Submit(ctx context.Context, command []byte) ([]byte, error) {
	return a.ask(ctx, func(ctx context.Context, address string) ([]byte, string, error) {
		return a.Caller.Propose(ctx, address, command)
	})
}

// Read reads what the leader knows into result.
func (a *Access) Read(ctx context.Context, what string, revision uint64, result any) error {
	text, err := a.ask(ctx, func(ctx context.Context, address string) ([]byte, string, error) {
		return a.Caller.Read(ctx, address, what, revision)
	})
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(text, result), "decode")
}

// At returns the control instances at peer addresses, each named by its own.
func At(addresses []string) []snipefront.Instance {
	var list []snipefront.Instance
	for _, a := range addresses {
		list = append(list, snipefront.Instance{Name: a, PeerAddress: a})
	}
	return list
}

type question func(ctx context.Context, address string) ([]byte, string, error)

// ask puts q to the control instances in turn until one answers or ctx ends.
func (a *Access) ask(ctx context.Context, q question) ([]byte, error) {
	for n := 1; ; n++ {
		list := a.Control()
		c := list[int(a.target.Load())%len(list)]
		text, leader, err := a.try(ctx, q, c.PeerAddress)
		if err == nil {
			return text, nil
		}
		a.follow(list, leader)
		if n%len(list) != 0 && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(err, "no answer from the control quorum")
		case <-time.After(pause):
		}
	}
}

func (a *Access) try(ctx context.Context, q question, address string) ([]byte, string, error) {
	limit := a.TryTimeout
	if limit == 0 {
		limit = defaultTryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return q(ctx, address)
}

// follow makes the named leader in list the next to be asked, or the next
// instance where the leader is unknown.
func (a *Access) follow(list []snipefront.Instance, leader string) {
	for i, c := range list {
		if c.Name == leader {
			a.target.Store(int64(i))
			return
		}
	}
	a.target.Store((a.target.Load() + 1) % int64(len(list)))
}
