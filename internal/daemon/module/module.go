// Package module builds an instance from its components with fx.
//
// Each component is a plain struct with exported fields, which the providers here set.
// The Lifecycle starts the servers and the background loops, and stops everything in
// the order of a planned stop.
package module

import (
	"log/slog"
	"strconv"
	"time"

	"go.uber.org/fx"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/setup"
	"github.com/snipefront/snipefront/internal/control/access"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/cells"
	"github.com/snipefront/snipefront/internal/dispatch/local"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
	"github.com/snipefront/snipefront/internal/dispatch/probe"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/entry/admin"
	"github.com/snipefront/snipefront/internal/entry/calls"
	"github.com/snipefront/snipefront/internal/entry/enroll"
	"github.com/snipefront/snipefront/internal/entry/locate"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/quorum/driver"
	"github.com/snipefront/snipefront/internal/request/chain"
	"github.com/snipefront/snipefront/internal/request/claim"
	"github.com/snipefront/snipefront/internal/request/fanout"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/request/route"
	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/rpc/meter"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// maxAnswerBytes bounds the answer of a backend server, which is buffered.
	maxAnswerBytes = 8 << 20
	// messageOverheadBytes is the space for the header of an answer and the
	// framing of a message between instances.
	messageOverheadBytes = 128 << 10
	// maxQueued is the most requests that wait in the queue of one cell.
	maxQueued = 1000
)

// Options returns the fx options of an instance with the settings s. The instance takes
// over the listeners of sock.
func Options(s setup.Settings, sock Sockets, logger *slog.Logger) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(s, sock, logger),
		fx.Provide(
			stats.New, newBodies, newInstance, newControlMembers, newMeter, newClient, newSender, newSuspects, newBroadcaster, newState, newReplica, newLog, newLeader,
			newControlClient, newCells, newMember, newRouter, newClaimFilter, newCallHandler, newLocateHandler, newEnrollHandler,
			newProber, newAdmin, newServer, newServers, newBackgroundLoops, newLifecycle,
		),
		fx.Invoke(func(l fx.Lifecycle, n *Lifecycle) {
			l.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
		}),
	)
}

func newInstance(s setup.Settings, sock Sockets) snipefront.Instance {
	return snipefront.Instance{
		Name:          s.Instance,
		DataCentre:    s.DataCentre,
		CallerAddress: sock.Caller.Addr().String(),
		PeerAddress:   sock.Peer.Addr().String(),
		Incarnation:   incarnation(),
	}
}

// controlMembers are the members of the control quorum.
type controlMembers []snipefront.Instance

func newControlMembers(s setup.Settings) controlMembers {
	var list controlMembers
	for _, c := range s.Control {
		list = append(list, snipefront.Instance{Name: c.Instance, PeerAddress: c.PeerAddress})
	}
	return list
}

func newMeter(counters *stats.Stats) *meter.Meter {
	m := &meter.Meter{}
	m.Received, m.Sent = counters.ControlBytes()
	return m
}

func newClient(s setup.Settings, m *meter.Meter) *peers.Client {
	return &peers.Client{MaxBytes: maxMessageBytes(s), DialControl: m.Dialer(peers.DialTimeout)}
}

// maxMessageBytes bounds a message between instances with a request or an answer.
func maxMessageBytes(s setup.Settings) int64 {
	return max(s.MaxBodyBytes, maxAnswerBytes) + int64(s.MaxHeaderBytes) + messageOverheadBytes
}

// newBodies returns the bounds on bodies, which are among the metrics.
func newBodies(s setup.Settings, counters *stats.Stats) bound.Bodies {
	b := bound.Share(s.Memory(), maxAnswerBytes)
	counters.ObserveBodies(stats.RequestBodies, b.Requests.Used)
	counters.ObserveBodies(stats.AnswerBodies, b.Answers.Used)
	return b
}

func newSender(bodies bound.Bodies) *sender.Sender {
	return &sender.Sender{MaxAnswerBytes: maxAnswerBytes, Memory: bodies.Answers}
}

func newState() *state.State { return &state.State{} }

func newLeader(s setup.Settings, l snipefront.Log, st *state.State, m *member.Member, logger *slog.Logger) *leader.Leader {
	if l == nil {
		return nil
	}
	return &leader.Leader{
		Log:         l,
		State:       st,
		Lease:       s.Lease,
		ProbeBudget: func() float64 { return m.View().Config.ProbesPerSecond },
		Logger:      logger,
	}
}

func newControlClient(members controlMembers, client *peers.Client) *access.Client {
	return &access.Client{Control: func() []snipefront.Instance { return members }, Caller: client}
}

func newSuspects(counters *stats.Stats, logger *slog.Logger) *poison.Register {
	return &poison.Register{Counter: counters, Logger: logger}
}

func newBroadcaster(instance snipefront.Instance, m *member.Member, suspects *poison.Register, client *peers.Client, counters *stats.Stats, logger *slog.Logger) *fanout.Broadcaster {
	b := &fanout.Broadcaster{
		Self:     instance.Name,
		View:     m.View,
		Lease:    &m.Lease,
		Register: suspects,
		Caller:   client,
		Counter:  counters,
		Logger:   logger,
	}
	suspects.Spread = b
	return b
}

func newCells(s *sender.Sender, suspects *poison.Register, counters *stats.Stats, logger *slog.Logger) *cells.Set {
	set := &cells.Set{Make: func(c snipefront.Cell) *local.Dispatcher {
		l := &cell.Cell{Name: c, Picker: picker.Free{}, MaxQueue: maxQueued}
		return &local.Dispatcher{
			Cell:       l,
			Sender:     s,
			Budget:     &budget.Share{},
			Counter:    counters,
			Hedges:     &budget.Share{},
			HedgeAfter: l.HedgeAfter,
			Poison:     suspects,
		}
	}}
	s.Heard = func(b snipefront.BackendServer, n notice.Notice, err error) {
		logger.Info("backend server drains or asks for a pause", "server", b.Name, "service", b.Service, "incarnation", b.Incarnation,
			"draining", n.Draining, "pause", n.Pause, "error", err)
		set.Hear(time.Now(), b, n)
	}
	return set
}

func newMember(s setup.Settings, instance snipefront.Instance, members controlMembers, client *peers.Client, cellSet *cells.Set, logger *slog.Logger) *member.Member {
	m := &member.Member{
		Instance: instance,
		Control:  members,
		Renewer:  client,
		Cells:    cellSet,
		Interval: s.Renew,
		Logger:   logger,
	}
	cellSet.Lease = &m.Lease
	return m
}

// newProber returns the prober of the instance. The checks of the sender take their
// probes from the same budget.
func newProber(s *sender.Sender, m *member.Member, cellSet *cells.Set, counters *stats.Stats) *probe.Prober {
	p := &probe.Prober{
		Cells:   cellSet.Cells,
		Config:  func() *snipefront.Config { return m.View().Config },
		Rate:    m.ProbeRate,
		Sender:  s,
		Counter: counters,
	}
	s.MayProbe = p.Take
	return p
}

func newRouter(instance snipefront.Instance, m *member.Member, cellSet *cells.Set, client *peers.Client, counters *stats.Stats) *route.Router {
	return &route.Router{
		Self:      instance.Name,
		View:      m.View,
		Lease:     &m.Lease,
		Cells:     cellSet,
		Forwarder: client,
		Counter:   counters,
	}
}

func newClaimFilter(instance snipefront.Instance, control *access.Client, logger *slog.Logger) *claim.Filter {
	return &claim.Filter{
		Proposer: control,
		Origin:   instance.Name + "/" + strconv.FormatUint(instance.Incarnation, 36),
		Logger:   logger,
	}
}

// newCallHandler returns the handler for requests of callers, with the filters that a
// request passes before it is routed.
func newCallHandler(s setup.Settings, bodies bound.Bodies, m *member.Member, claims *claim.Filter, suspects *poison.Register, router *route.Router, counters *stats.Stats, logger *slog.Logger) *calls.Handler {
	return &calls.Handler{
		Next:         chain.Join(router, claims, &fanout.Filter{Register: suspects}),
		Config:       func() *snipefront.Config { return m.View().Config },
		Ready:        func() bool { return m.Lease.Held(time.Now()) },
		MaxBodyBytes: s.MaxBodyBytes,
		Bodies:       bodies,
		Counter:      counters,
		Logger:       logger,
	}
}

func newLocateHandler(m *member.Member, router *route.Router) *locate.Handler {
	return &locate.Handler{View: m.View, Owners: router, Lifetime: addressLifetime}
}

func newEnrollHandler(instance snipefront.Instance, m *member.Member, router *route.Router, client *peers.Client) *enroll.Handler {
	return &enroll.Handler{Self: instance.Name, View: m.View, Local: router, Passer: client}
}

func newAdmin(instance snipefront.Instance, m *member.Member, cellSet *cells.Set, control *access.Client, client *peers.Client, counters *stats.Stats, logger *slog.Logger) *admin.Admin {
	return &admin.Admin{
		Self:     instance.Name,
		View:     m.View,
		Lease:    &m.Lease,
		Cells:    cellSet,
		Control:  control,
		Peers:    client,
		Metrics:  counters.Gatherer(),
		Stopping: m.Leaving,
		Logger:   logger,
	}
}

func newServer(s setup.Settings, operators *admin.Admin, suspects *poison.Register, router *route.Router, lead *leader.Leader, replica *driver.Log) *peers.Server {
	p := &peers.Server{Owner: router, Suspects: suspects, Cells: operators.OwnedCells, MaxBytes: maxMessageBytes(s)}
	if replica != nil {
		p.Leader, p.Log, p.Steps = lead, replica, replica.Deliver
	}
	return p
}
