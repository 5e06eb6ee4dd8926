package peers

import (
	"context"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// Propose asks the control instance at address to append a command. If the instance
// does not lead, Propose returns snipefront.ErrNotLeader and the leader's name.
//
// If the connection turns out to be half-open, the command is proposed once more on a
// new one. Commands are idempotent.
func (c *Client) Propose(ctx context.Context, address string, command []byte) (result []byte, leader string, err error) {
	l := c.controlLink(address)
	r, err := c.propose(ctx, l, command, true)
	if errors.Is(err, conns.ErrHalfOpen) && ctx.Err() == nil {
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

// propose proposes command once. If checkOverdue is true, the call is checked when its
// answer is overdue.
func (c *Client) propose(ctx context.Context, l *link, command []byte, checkOverdue bool) (r *wire.ProposeResponse, err error) {
	m := &wire.ProposeRequest{Command: command, Call: c.nextCall()}
	k := call{floor: c.overdueFloor(), idempotent: true}
	if checkOverdue {
		k.id = m.Call
	}
	cause, err := l.doChecked(ctx, &k, func(ctx context.Context) (err error) {
		r, err = l.control.Propose(ctx, m)
		return err
	})
	if err != nil && cause != nil {
		err = cause
	}
	return r, err
}
