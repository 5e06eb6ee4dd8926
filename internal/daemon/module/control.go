package module

import (
	"context"

	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/cells"
	"github.com/snipefront/snipefront/internal/dispatch/probe"
	"github.com/snipefront/snipefront/internal/request/fanout"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// backgroundLoops are the functions that an instance runs beside its servers. Each
// returns when its context ends.
type backgroundLoops []func(ctx context.Context) error

// newBackgroundLoops returns the background loops in the order in which they start. The
// leader is nil if the instance is not a member of the control quorum.
func newBackgroundLoops(
	lead *leader.Leader, cellSet *cells.Set, prober *probe.Prober, client *peers.Client, broadcaster *fanout.Broadcaster, m *member.Member,
) backgroundLoops {
	list := backgroundLoops{cellSet.Run, prober.Run, client.Run, broadcaster.Run, m.Run}
	if lead != nil {
		list = append(list, lead.Run)
	}
	return list
}
