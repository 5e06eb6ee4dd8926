package peers

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// Watch is an instance's call to a control instance: it renews the registration
// of the caller and waits for a change of the fleet.
type Watch struct {
	// Instance is the caller. Its Keeper is left empty.
	Instance fleet.Instance
	// Held is the index of the last change that the caller holds.
	Held uint64
	// Wait bounds the wait for a change.
	Wait time.Duration
}

// Update is the answer to a Watch.
type Update struct {
	// Current is false where the answering instance has lost touch with the control
	// quorum.
	Current bool
	Delta   fleet.Delta
}

// Watcher answers a Watch.
type Watcher interface {
	Watch(ctx context.Context, w Watch) (Update, error)
}

// Watch asks the control instance at address for what changed in the fleet.
func (c *Client) Watch(ctx context.Context, address string, w Watch) (Update, error) {
	l := c.controlAt(address)
	var r *wire.WatchResponse
	err := l.do(ctx, func(ctx context.Context) (err error) {
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
	n := Update{Current: r.Current}
	return n, errors.Wrap(json.Unmarshal(r.Changes, &n.Delta), "decode changes")
}

// Watch implements wire.Control.
func (s *Server) Watch(ctx context.Context, r *wire.WatchRequest) (*wire.WatchResponse, error) {
	if s.Watcher == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this control quorum knows no fleet")
	}
	n, err := s.Watcher.Watch(ctx, Watch{
		Instance: fleet.Instance{Instance: instanceOf(r.Instance), Region: r.Region, Ready: r.Ready, Sequence: r.Sequence},
		Held:     r.Held,
		Wait:     time.Duration(r.WaitMillis) * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(n.Delta)
	if err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	return &wire.WatchResponse{Current: n.Current, Changes: b}, nil
}
