package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// Watch is a request of an instance to a control instance, its keeper. It renews the
// registration of the instance and waits for a change of the fleet.
type Watch struct {
	// Instance is the registration of the instance that watches, without its Keeper. It
	// has no name if the instance only follows the fleet and isn't to be registered.
	Instance fleet.Instance
	// Held is the index of the last change that the instance has applied.
	Held uint64
	// Wait is the maximum time to wait for a change.
	Wait time.Duration
}

// Unregistered reports whether the instance that watches is not to be registered.
func (w Watch) Unregistered() bool { return w.Instance.Name == "" }

// Update is the answer to a Watch.
type Update struct {
	// Current is false if the control instance knows no leader or is behind
	// Watch.Held, so that Delta may lack recent changes.
	Current bool
	// Delta holds the changes after Watch.Held.
	Delta fleet.Delta
}

// Watcher answers a Watch.
type Watcher interface {
	Watch(ctx context.Context, w Watch) (Update, error)
}

// Watch sends w to the control instance at address and returns its update.
func (c *Client) Watch(ctx context.Context, address string, w Watch) (Update, error) {
	l := c.controlLink(address)
	var r *wire.WatchResponse
	k := call{acceptsGzip: w.Held == 0}
	err := l.doCall(ctx, &k, func(ctx context.Context) (err error) {
		r, err = l.control.Watch(ctx, &wire.WatchRequest{
			Instance:   instanceMessage(w.Instance.Instance),
			Region:     w.Instance.Region,
			Ready:      w.Instance.Ready,
			Sequence:   w.Instance.Sequence,
			Held:       w.Held,
			WaitMillis: w.Wait.Milliseconds(),
		})
		return err
	})
	if err != nil {
		return Update{}, errors.Wrap(err, "watch")
	}
	u := Update{Current: r.Current}
	u.Delta, err = decodeChanges(r.Changes, l.maxBytes)
	return u, errors.Wrap(err, "decode changes")
}

// Watch implements wire.Control.
func (s *Server) Watch(ctx context.Context, r *wire.WatchRequest) (*wire.WatchResponse, error) {
	if s.Watcher == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this control quorum knows no fleet")
	}
	u, err := s.Watcher.Watch(ctx, Watch{
		Instance: fleet.Instance{Instance: instanceOf(r.Instance), Region: r.Region, Ready: r.Ready, Sequence: r.Sequence},
		Held:     r.Held,
		Wait:     time.Duration(r.WaitMillis) * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	b, err := s.encodeChanges(ctx, u.Delta)
	if err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	return &wire.WatchResponse{Current: u.Current, Changes: b}, nil
}
