// Package peers carries calls between instances over twirp, and translates
// between the messages of package wire and the types of the other packages.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/quorum/codec"
	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/wire"
	"github.com/snipefront/snipefront/internal/rpc/writes"
)

const (
	// DialTimeout bounds opening a connection to another instance.
	DialTimeout = 250 * time.Millisecond
	// defaultMaxBytes is the default of Client.MaxBytes and Server.MaxBytes.
	defaultMaxBytes = 16 << 20
	// unusedTimeout is the time without a call after which the connections to an
	// address are dropped.
	unusedTimeout = 5 * time.Minute
	// expireInterval is the time between calls of Expire.
	expireInterval = time.Minute
	// maxControlBytes bounds a message of the control service.
	maxControlBytes = 64 << 20
)

// Client calls other instances. Its zero value is ready to use. Set the exported
// fields before the first call.
type Client struct {
	// MaxBytes bounds a message of the peer service. Zero means 16 MiB.
	MaxBytes int64
	// ProvenFor is the maximum time for which a connection may have been idle
	// before it carries a request that must not run twice. Zero means one second.
	ProvenFor time.Duration
	// OverdueFloor is the minimum time after which an answer is overdue. Zero
	// means 100 ms.
	OverdueFloor time.Duration

	// DialControl opens the connections of the control service. If it is nil, they
	// are plain TCP connections.
	DialControl func(ctx context.Context, network, address string) (net.Conn, error)

	// peerLinks and controlLinks hold a link for each address. The two services
	// have separate connections, so that no fault or overload of the peer service
	// delays a lease renewal.
	peerLinks     sync.Map
	controlLinks  sync.Map
	firstCallOnce sync.Once
	// firstCall is the random start of this client's call numbers, so that they
	// differ from those of other clients.
	firstCall uint64
	callCount atomic.Uint64
}

// Announce forwards an announcement to the instance at address and returns the
// time after which it expires there.
func (c *Client) Announce(ctx context.Context, address string, b snipefront.BackendServer) (time.Duration, error) {
	l := c.peerLink(address)
	var r *wire.AnnounceResponse
	err := l.do(ctx, func(ctx context.Context) (err error) {
		r, err = l.peer.Announce(ctx, &wire.AnnounceRequest{
			Name:        b.Name,
			Service:     b.Service,
			DataCentre:  b.DataCentre,
			Address:     b.Address,
			Incarnation: b.Incarnation,
			Slots:       int32(b.Slots),
			Draining:    b.Draining,
		})
		return err
	})
	if err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	return time.Duration(r.LeaseMillis) * time.Millisecond, nil
}

// Load returns the load of the cells that the instance at address owns, in the
// JSON of the operators' interface.
func (c *Client) Load(ctx context.Context, address string) ([]byte, error) {
	l := c.peerLink(address)
	var r *wire.LoadResponse
	err := l.do(ctx, func(ctx context.Context) (err error) {
		r, err = l.peer.Load(ctx, &wire.LoadRequest{})
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "load")
	}
	return r.Cells, nil
}

// Renew implements member.Renewer.
func (c *Client) Renew(ctx context.Context, address string, r leader.Renewal) (leader.Grant, error) {
	l := c.controlLink(address)
	var g *wire.RenewResponse
	err := l.do(ctx, func(ctx context.Context) (err error) {
		g, err = l.control.Renew(ctx, &wire.RenewRequest{
			Instance:  instanceMessage(r.Instance),
			Epoch:     r.Epoch,
			Revision:  r.Revision,
			Leaving:   r.Leaving,
			Gone:      r.Gone,
			HeldEpoch: r.Held,
			ProbeRate: r.ProbeRate,
		})
		return err
	})
	if err != nil {
		return leader.Grant{}, errors.Wrap(err, "renew")
	}
	return grantOf(g), nil
}

// Read reads what, "Overview" or "History", from the control instance at address. The
// overview tells whether revision is in force. Read returns JSON and the leader's name.
// If the instance does not lead, the error is snipefront.ErrNotLeader.
func (c *Client) Read(ctx context.Context, address, what string, revision uint64) (text []byte, leader string, err error) {
	l := c.controlLink(address)
	var r *wire.ReadResponse
	err = l.do(ctx, func(ctx context.Context) (err error) {
		r, err = l.control.Read(ctx, &wire.ReadRequest{What: what, Revision: revision})
		return err
	})
	if err != nil {
		return nil, "", errors.Wrap(err, "read")
	}
	if r.NotLeader {
		return nil, r.Leader, snipefront.ErrNotLeader
	}
	return r.Json, r.Leader, nil
}

// Step delivers messages of the replicated log to the control instance at
// address, and returns its replies.
func (c *Client) Step(ctx context.Context, address string, messages []raft.Message) ([]raft.Message, error) {
	l := c.controlLink(address)
	var r *wire.StepResponse
	err := l.do(ctx, func(ctx context.Context) error {
		var err error
		r, err = l.control.Step(ctx, &wire.StepRequest{Messages: codec.Messages(messages)})
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "step")
	}
	return codec.ToMessages(r.Messages), nil
}

func (c *Client) peerLink(address string) *link {
	return linkTo(&c.peerLinks, address, c.maxBytes(), writes.Dialer(DialTimeout))
}

func (c *Client) controlLink(address string) *link {
	dial := writes.Dialer(DialTimeout)
	if c.DialControl != nil {
		dial = writes.Wrap(c.DialControl)
	}
	return linkTo(&c.controlLinks, address, maxControlBytes, dial)
}

func linkTo(links *sync.Map, address string, maxBytes int64, dial writes.Dial) *link {
	v, ok := links.Load(address)
	if !ok {
		v, _ = links.LoadOrStore(address, newLink(address, maxBytes, dial))
	}
	l := v.(*link)
	l.touch(time.Now())
	return l
}

// Run calls Expire at regular intervals until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	return timer.Every(ctx, expireInterval, func(now time.Time) { c.Expire(now) })
}

// Expire drops the links to addresses that were not called for unusedTimeout, and
// returns the number of remaining links of both services.
func (c *Client) Expire(now time.Time) int {
	kept := 0
	for _, links := range []*sync.Map{&c.peerLinks, &c.controlLinks} {
		links.Range(func(address, v any) bool {
			l := v.(*link)
			if now.Sub(*l.lastUsed.Load()) < unusedTimeout {
				kept++
				return true
			}
			links.Delete(address)
			l.conns.CloseIdle()
			return true
		})
	}
	return kept
}

// nextCall returns a call number that is unique in the fleet and never zero.
func (c *Client) nextCall() uint64 {
	c.firstCallOnce.Do(func() { c.firstCall = rand.Uint64() })
	return max(1, c.firstCall+c.callCount.Add(1))
}

func (c *Client) maxBytes() int64 {
	if c.MaxBytes == 0 {
		return defaultMaxBytes
	}
	return c.MaxBytes
}

func (c *Client) provenFor() time.Duration {
	if c.ProvenFor == 0 {
		return defaultProvenFor
	}
	return c.ProvenFor
}

func (c *Client) overdueFloor() time.Duration {
	if c.OverdueFloor == 0 {
		return defaultOverdueFloor
	}
	return c.OverdueFloor
}

func grantOf(g *wire.RenewResponse) leader.Grant {
	r := leader.Grant{
		Granted:   !g.NotLeader,
		Leader:    g.Leader,
		Lease:     time.Duration(g.LeaseMillis) * time.Millisecond,
		Epoch:     snipefront.Epoch{Number: g.Epoch, DataCentres: g.DataCentres},
		Settled:   g.Settled,
		ProbeRate: g.ProbeRate,
		Config:    state.Delta{Revision: g.Revision, Removed: g.Removed, Whole: g.Whole},
	}
	for _, n := range g.Instances {
		r.Epoch.Instances = append(r.Epoch.Instances, instanceOf(n))
	}
	for _, f := range g.Files {
		r.Config.Files = append(r.Config.Files, state.File{Name: f.Name, Content: f.Content})
	}
	return r
}
