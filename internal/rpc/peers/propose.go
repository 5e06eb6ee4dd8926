package peers

import (
	"context"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// Propose asks the control instance at address to append a command. Where it
// does not lead it returns snipefront.ErrNotLeader and the leader's name.
//
// Where the connection is silent while a new one works, the command is proposed
// once more on a new one, which commands allow.
func (c *Client) Propose(ctx context.Context, address string, command []byte) (result []byte, leader string, err error) {
	l := c.controlAt(address)
	r, err := c.propose(ctx, l, command, true)
	if errors.Is(err, conns.ErrSilent) && ctx.Err() == nil {
		r, err = c.propose(ctx, l, command, false)
	}
	if err != nil {
		return nil, "", errors.Wrap(err, "propose")
	}
	if r.NotLeader {
		return nil, r.Leader, snipefront.ErrNotLeader
	}
	return r.Result, r.Leader, nil
}

// propose proposes command once. The first time an overdue answer is looked
// into.
func (c *Client) propose(ctx context.Context, l *link, command []byte, first bool) (r *wire.ProposeResponse, err error) {
	m := &wire.ProposeRequest{Command: command, Call: c.nextCall()}
	k := call{floor: c.overdueFloor(), idempotent: true}
	if first {
		k.id = m.Call
	}
	cause, err := l.try(ctx, &k, func(ctx context.Context) (err error) {
		r, err = l.control.Propose(ctx, m)
		return err
	})
	if err != nil && cause != nil {
		err = cause
	}
	return r, err
}
