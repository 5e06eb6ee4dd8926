// Package edge builds an instance that accepts requests of callers and stores nothing
// on disk. It follows the state of the fleet, chooses a backend server for each request
// by itself and sends the request there.
package edge

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/access"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/follow"
	"github.com/snipefront/snipefront/internal/daemon/serve"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/canary"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/grant"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/entry/proxy"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/observe/status"
	"github.com/snipefront/snipefront/internal/observe/tally"
	"github.com/snipefront/snipefront/internal/request/paths"
	"github.com/snipefront/snipefront/internal/request/submit"
)

const (
	// expireInterval is how often the pool is checked for unused connections.
	expireInterval = time.Second
	// logLimitsInterval is the time between two log lines of one backend server that names
	// a rate limit.
	logLimitsInterval = time.Second
	// closeListenerShare, drainShare and cutOffShare are shares of the grace period. After
	// the first, the listener is closed; after the second, the requests that are still in
	// flight are ended; after the third, the instance stops although answers to these are
	// not written.
	closeListenerShare = 0.7
	drainShare         = 0.93
	cutOffShare        = 0.97
	// drainPollInterval is how often a stop checks whether requests are in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Settings are the settings of an edge instance.
type Settings struct {
	// Self is this instance. Its name is its caller address.
	Self fleet.Instance
	// Seeds returns peer addresses of some control instances.
	Seeds func() []string
	// MetricsAddress is the address (host:port) of the metrics and the status report.
	MetricsAddress string
	// Interfaces maps each further listen address (host:port) to a function that returns
	// its handler. The argument ready reports whether the instance accepts requests.
	Interfaces map[string]func(ready func() bool) http.Handler
	Fields     snipefront.HeaderFields
	// Decode decodes and checks the operator's configuration.
	Decode func(text []byte) (*paths.Table, error)
	// Grace is the time between the stop signal and the end of the process.
	Grace time.Duration
	// Retries bounds the retries and hedges of all edge instances together.
	Retries snipefront.RetryLimit
	// Quotas is the bound within which all edge instances together keep the quotas of
	// workspaces.
	Quotas snipefront.QuotaLimit
	// Rollouts bound what versions that turn out to be bad may receive.
	Rollouts snipefront.RolloutBounds
	// ProbeRate is the mean number of load probes per second that one backend server may
	// receive from all edge instances together.
	ProbeRate float64
	// LinkBytesPerSecond is the bandwidth of the instance's link in each direction. Zero is
	// unknown, and long answers are not shaped.
	LinkBytesPerSecond float64
	// CrossingBytes is the number of bytes between data centres that cost as much as one answer
	// in time is worth. Zero means that crossings have no price: remote backend servers
	// then compete by their latency alone.
	CrossingBytes float64
	// MemoryBytes is the memory that the process may use, in bytes. It bounds the requests
	// and answers that are held.
	MemoryBytes int64
}

// Edge is a running edge instance.
type Edge struct {
	settings   Settings
	logger     *slog.Logger
	follower   *follow.Follower
	replicator *submit.Replicator
	reports    *submit.Reports
	versions   *canary.Counter
	counts     *submit.Counts
	targets    *health.Set
	pool       *pool.Pool
	proxy      *proxy.Proxy
	retries    *budget.Retries
	probes     *budget.Probes
	quotas     *grant.Service
	server     *pipe.Server
	checks     *direct.Checks
	stats      *stats.Stats
	tally      *tally.Tally
	group      serve.Group
	// triedVersion is the version of the last configuration that was decoded, valid or
	// not.
	triedVersion uint64
	suspects     *submit.Receiver
	// control holds the control instances of the last view.
	control atomic.Pointer[[]snipefront.Instance]
	// index is the index of the last view that was applied.
	index atomic.Uint64
	// readyAnnounced is true once the instance has begun to announce to the fleet that
	// it accepts requests.
	readyAnnounced bool
}

func (e *Edge) start(ctx context.Context) error {
	l, err := serve.Listen(ctx, e.settings.Self.CallerAddress)
	if err != nil {
		return err
	}
	if err := e.quotas.Listen(ctx, e.settings.Self.PeerAddress); err != nil {
		return err
	}
	// These servers share a name. The address in an error tells them apart.
	for address, h := range e.settings.Interfaces {
		if err := e.group.HTTP(ctx, "interface", address, h(e.ready)); err != nil {
			return err
		}
	}
	metrics := status.Handler(e.stats.Gatherer(), e.report, e.logger)
	if err := e.group.HTTP(ctx, "metrics", e.settings.MetricsAddress, metrics); err != nil {
		return err
	}
	e.group.Go(ctx, "callers", func(ctx context.Context) error { return e.server.Serve(ctx, l) })
	e.group.Go(ctx, "follower", e.follower.Run)
	e.group.Go(ctx, "replicator", e.replicator.Run)
	e.group.Go(ctx, "tally", e.tally.Run)
	e.group.Go(ctx, "reports", e.reports.Run)
	e.group.Go(ctx, "counts", e.counts.Run)
	e.group.Go(ctx, "checks", e.checks.Run)
	e.group.Go(ctx, "quotas", e.quotas.Run)
	e.group.Go(ctx, "quota watch", e.quotas.Watch)
	e.group.Go(ctx, "limits", func(ctx context.Context) error {
		return timer.Every(ctx, logLimitsInterval, func(time.Time) { e.targets.LogLimits() })
	})
	e.group.Go(ctx, "pool", func(ctx context.Context) error { return timer.Every(ctx, expireInterval, e.pool.Expire) })
	e.logger.Info("started", "instance", e.settings.Self.Name, "dataCentre", e.settings.Self.DataCentre, "seeds", e.settings.Seeds())
	return nil
}

// ready reports whether the instance accepts requests.
func (e *Edge) ready() bool { return e.proxy.Table() != nil && !e.server.Draining() }

// apply applies a view of the fleet, which the delta d led to. Until there is a valid
// configuration, it ignores the rest of the view.
func (e *Edge) apply(v fleet.View, d fleet.Delta) {
	e.configure(v.Document)
	t := e.proxy.Table()
	if t == nil {
		return
	}
	now := time.Now()
	if !d.OnlySuspects() {
		e.applyMembers(now, v, t.Routing)
	}
	e.index.Store(v.Index)
	e.logger.Info("applied a new fleet view", "index", v.Index, "version", v.Document.Version, "servers", len(v.Servers), "instances", len(v.Instances), "out", len(v.Out))
	e.suspects.Apply(now, v, d)
	if !e.readyAnnounced {
		e.readyAnnounced = true
		e.follower.SetReady(true)
	}
}

// applyMembers applies the backend servers and the instances of v.
func (e *Edge) applyMembers(now time.Time, v fleet.View, r *snipefront.Routing) {
	e.targets.Update(now, v, r)
	e.versions.Update(v.Rollouts)
	e.retries.SetInstances(now, v.Edges())
	e.probes.SetFleet(now, len(v.Servers), v.Edges())
	e.quotas.SetInstances(v.Index, e.targets.Edges())
	e.storeControl(v)
}

// report returns the state of the fleet as this instance has applied it.
func (e *Edge) report() status.Report {
	r := status.Report{
		Instance: e.settings.Self.Name, Role: "edge", DataCentre: e.settings.Self.DataCentre,
		Index: e.index.Load(), Servers: e.targets.States(time.Now()),
	}
	r.Source, r.Heard = e.follower.LastContact()
	if t := e.proxy.Table(); t != nil {
		r.Version = t.Routing.Version
	}
	return r
}

// storeControl stores the control instances of v.
func (e *Edge) storeControl(v fleet.View) {
	var list []snipefront.Instance
	for _, n := range v.Instances {
		if n.Control {
			list = append(list, n.Instance)
		}
	}
	e.control.Store(&list)
}

// controlInstances returns the control instances of the last view, or the seeds if
// there are none.
func (e *Edge) controlInstances() []snipefront.Instance {
	if list := e.control.Load(); list != nil && len(*list) > 0 {
		return *list
	}
	return access.InstancesAt(e.settings.Seeds())
}

// configure applies the configuration d if its version is new. If d is invalid, the
// previous one stays.
func (e *Edge) configure(d fleet.Document) {
	if d.Version <= e.triedVersion {
		return
	}
	e.triedVersion = d.Version
	t, err := e.decode(d)
	if err != nil {
		e.logger.Error("cannot apply the configuration; keeping the previous one", "version", d.Version, "error", err)
		return
	}
	e.quotas.Configure(t.Routing)
	e.proxy.SetTable(t)
	e.retries.Keep(t.Routing.Services)
	e.logger.Info("applied a new configuration", "version", d.Version, "routes", len(t.Routing.Routes), "workspaces", len(t.Routing.Workspaces))
}

func (e *Edge) decode(d fleet.Document) (*paths.Table, error) {
	text, err := d.Text()
	if err != nil {
		return nil, err
	}
	return e.settings.Decode(text)
}

// drain announces that the instance accepts no more requests, closes connections as their
// requests are answered, and waits for the requests in flight. It refuses requests that may
// last longer than itself. The listener stays open for a part of the grace period, since
// callers may have cached the address. drain ends before the grace period does.
func (e *Edge) drain() {
	e.logger.Info("stopping", "instance", e.settings.Self.Name, "grace", e.settings.Grace)
	start := time.Now()
	at := func(share float64) time.Time {
		return start.Add(time.Duration(share * float64(e.settings.Grace)))
	}
	e.proxy.Stop(start, at(drainShare))
	e.server.Drain()
	e.follower.SetReady(false)
	time.Sleep(time.Until(at(closeListenerShare)))
	e.server.CloseListener()
	e.awaitIdle(at(drainShare))
	e.cutOff(at(cutOffShare))
}

// awaitIdle closes idle connections until there is none left and none comes, or until the
// given time.
func (e *Edge) awaitIdle(until time.Time) {
	for (e.server.Accepting() || e.server.CloseIdle() > 0) && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// cutOff ends the requests that are still in flight, and waits for their answers until the
// given time. It records those that get none.
func (e *Edge) cutOff(until time.Time) {
	e.logger.Info("requests in flight at the end of the stop", "instance", e.settings.Self.Name, "count", len(e.server.Pending()))
	e.server.CutOff()
	e.awaitIdle(until)
	for _, r := range e.server.Pending() {
		e.proxy.CutOff(r)
	}
}
