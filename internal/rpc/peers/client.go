// Package peers carries calls between instances over twirp, and translates
// between the messages of package wire and the types of the other packages.
package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/quorum/codec"
	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/watch"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

const (
	// DialTimeout bounds opening a connection to another instance.
	DialTimeout = 250 * time.Millisecond
	idleTimeout = 30 * time.Second
	idlePerHost = 128
)

// Client calls other instances. Its zero value is ready.
type Client struct {
	// DialControl opens the connections of the control service. Nil opens plain
	// ones.
	DialControl func(ctx context.Context, network, address string) (net.Conn, error)

	once    sync.Once
	http    *http.Client
	terse   terse
	peer    sync.Map
	control sync.Map
}

// Answer is what the owner of a cell made of a request.
type Answer struct {
	Response *snipefront.Response
	// Free and Queued are the owner's counts for the cell.
	Free   int
	Queued int
	// Counted is true where Free and Queued are set.
	Counted bool
}

// Forward asks the instance at address to run r in c. An error is always a
// *snipefront.Error.
func (c *Client) Forward(ctx context.Context, address string, e uint64, l snipefront.Cell, r *snipefront.Request, mayQueue bool) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	var p watch.Probe
	f, err := c.peerAt(address).Forward(p.With(ctx), forwardRequest(e, l, r, mayQueue))
	if err != nil {
		return Answer{}, unreached(&p, err)
	}
	a := Answer{Free: int(f.Free), Queued: int(f.Queued), Counted: true}
	if f.Refusal != nil {
		return a, refusalError(f.Refusal)
	}
	a.Response = &snipefront.Response{
		Status:        int(f.Status),
		Header:        headerOf(f.Header),
		Body:          f.Body,
		BackendServer: f.BackendServer,
	}
	return a, nil
}

// Announce passes on an announcement and returns for how long it holds there.
func (c *Client) Announce(ctx context.Context, address string, b snipefront.BackendServer) (time.Duration, error) {
	r, err := c.peerAt(address).Announce(ctx, &wire.AnnounceRequest{
		Name:        b.Name,
		Service:     b.Service,
		DataCentre:  b.DataCentre,
		Address:     b.Address,
		Incarnation: b.Incarnation,
		Slots:       int32(b.Slots),
		Draining:    b.Draining,
	})
	if err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	return time.Duration(r.LeaseMillis) * time.Millisecond, nil
}

// Renew implements member.Renewer.
func (c *Client) Renew(ctx context.Context, address string, r leader.Renewal) (leader.Grant, error) {
	g, err := c.controlAt(address).Renew(ctx, &wire.RenewRequest{
		Instance:  instanceMessage(r.Instance),
		Epoch:     r.Epoch,
		Revision:  r.Revision,
		Leaving:   r.Leaving,
		Gone:      r.Gone,
		HeldEpoch: r.Held,
		ProbeRate: r.ProbeRate,
	})
	if err != nil {
		return leader.Grant{}, errors.Wrap(err, "renew")
	}
	return grantOf(g), nil
}

// Propose asks the control instance at address to append a command. Where it
// does not lead it returns snipefront.ErrNotLeader and the leader's name.
func (c *Client) Propose(ctx context.Context, address string, command []byte) (result []byte, leader string, err error) {
	r, err := c.controlAt(address).Propose(ctx, &wire.ProposeRequest{Command: command})
	if err != nil {
		return nil, "", errors.Wrap(err, "propose")
	}
	if r.NotLeader {
		return nil, r.Leader, snipefront.ErrNotLeader
	}
	return r.Result, r.Leader, nil
}

// Read asks the control instance at address for what it knows, as JSON.
func (c *Client) Read(ctx context.Context, address, what string, revision uint64) (text []byte, leader string, err error) {
	r, err := c.controlAt(address).Read(ctx, &wire.ReadRequest{What: what, Revision: revision})
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
	r, err := c.controlAt(address).Step(ctx, &wire.StepRequest{Messages: codec.Messages(messages)})
	if err != nil {
		return nil, errors.Wrap(err, "step")
	}
	return codec.ToMessages(r.Messages), nil
}

// terse sends requests without the header fields that no instance reads.
type terse struct {
	*http.Client
}

// Do implements wire.HTTPClient.
func (t terse) Do(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = nil
	return t.Client.Do(r)
}

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		dial := c.DialControl
		if dial == nil {
			dial = (&net.Dialer{Timeout: DialTimeout}).DialContext
		}
		c.terse.Client = &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
		}}
		c.http = &http.Client{Transport: &http.Transport{
			DialContext:         watch.Dialer(DialTimeout),
			DisableCompression:  true,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
		}}
	})
	return c.http
}

func (c *Client) peerAt(address string) wire.Peer {
	if p, ok := c.peer.Load(address); ok {
		return p.(wire.Peer)
	}
	p, _ := c.peer.LoadOrStore(address, wire.NewPeerProtobufClient("http://"+address, c.client()))
	return p.(wire.Peer)
}

func (c *Client) controlAt(address string) wire.Control {
	if p, ok := c.control.Load(address); ok {
		return p.(wire.Control)
	}
	c.client()
	p, _ := c.control.LoadOrStore(address, wire.NewControlProtobufClient("http://"+address, c.terse))
	return p.(wire.Control)
}

// unreached returns the error for a call that brought no answer.
func unreached(p *watch.Probe, err error) *snipefront.Error {
	e := &snipefront.Error{
		Reason:     snipefront.ReasonPeer,
		Status:     http.StatusBadGateway,
		RetryAfter: time.Second,
		Detail:     "the owner of the cell did not answer: " + err.Error(),
	}
	if !p.Wrote() {
		e.Verdict = snipefront.NotRun
		e.Status = http.StatusServiceUnavailable
	}
	return e
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
