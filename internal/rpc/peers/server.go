package peers

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/quorum/codec"
	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/meter"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// Owner handles the forwarded requests and announcements that this instance receives.
type Owner interface {
	// HandleForward dispatches r in the cell c and returns the answer with the counts of
	// c. If mayQueue is true, r may wait for a free slot. An error is always a
	// *snipefront.Error.
	HandleForward(ctx context.Context, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (Answer, error)
	// HandleAnnouncement records an announcement and returns the time after which it
	// expires.
	HandleAnnouncement(b snipefront.BackendServer) time.Duration
}

// Server answers the calls of other instances. Set the exported fields before
// Route.
type Server struct {
	Owner Owner
	// Leader and Log are nil if this instance is not in the control quorum. Leader is
	// also nil if the quorum grants no leases.
	Leader *leader.Leader
	Log    snipefront.Log
	// Steps handles messages of the replicated log and returns the replies. It may
	// be nil.
	Steps func(ctx context.Context, messages []raft.Message) ([]raft.Message, error)
	// Watcher answers instances that watch the fleet. It may be nil.
	Watcher Watcher
	// Suspects holds the suspects of this instance. It may be nil.
	Suspects Suspects
	// Cells returns the load of the cells that this instance owns, in the JSON of the
	// operators' interface. It may be nil.
	Cells func() ([]byte, error)
	// MaxBytes bounds a message of the peer service. Zero means 16 MiB.
	MaxBytes int64

	calls  runningCalls
	wholes wholeStates
}

// Route adds the services to r: the peer service if Owner or Suspects is set, and the
// control service if Leader or Watcher is set.
func (s *Server) Route(r *mux.Router) {
	if s.Owner != nil || s.Suspects != nil {
		r.PathPrefix(wire.PeerPathPrefix).Handler(withoutDate(http.MaxBytesHandler(wire.NewPeerServer(s), s.maxBytes())))
	}
	if s.Leader != nil || s.Watcher != nil {
		r.PathPrefix(wire.ControlPathPrefix).Handler(meter.Handler(withoutDate(withAccept(http.MaxBytesHandler(wire.NewControlServer(s), maxControlBytes)))))
	}
	r.NotFoundHandler = http.NotFoundHandler()
}

// withoutDate removes the Date header field from answers, since no instance reads it.
func withoutDate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// Forward implements wire.Peer.
func (s *Server) Forward(ctx context.Context, f *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	s.calls.begin(f.Call)
	defer s.calls.end(f.Call)
	c := snipefront.Cell{Service: f.Service, DataCentre: f.DataCentre}
	a, err := s.Owner.HandleForward(ctx, c, requestOf(f), f.MayQueue)
	m := &wire.ForwardResponse{Free: int32(a.Free), Queued: int32(a.Queued)}
	if err != nil {
		m.Refusal = refusalMessage(snipefront.AsError(err))
		return m, nil
	}
	m.Status = int32(a.Response.Status)
	m.Header = headerFields(a.Response.Header)
	m.Body = a.Response.Body
	m.BackendServer = a.Response.BackendServer
	return m, nil
}

// Check implements wire.Peer.
func (s *Server) Check(_ context.Context, r *wire.CheckRequest) (*wire.CheckResponse, error) {
	return &wire.CheckResponse{Running: s.calls.running(r.Call)}, nil
}

// Announce implements wire.Peer.
func (s *Server) Announce(_ context.Context, a *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	lease := s.Owner.HandleAnnouncement(snipefront.BackendServer{
		Name:        a.Name,
		Service:     a.Service,
		DataCentre:  a.DataCentre,
		Address:     a.Address,
		Incarnation: a.Incarnation,
		Slots:       int(a.Slots),
		Draining:    a.Draining,
	})
	return &wire.AnnounceResponse{LeaseMillis: lease.Milliseconds()}, nil
}

// Load implements wire.Peer.
func (s *Server) Load(context.Context, *wire.LoadRequest) (*wire.LoadResponse, error) {
	if s.Cells == nil {
		return &wire.LoadResponse{}, nil
	}
	b, err := s.Cells()
	return &wire.LoadResponse{Cells: b}, err
}

// Renew implements wire.Control.
func (s *Server) Renew(_ context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	if s.Leader == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this control quorum grants no leases")
	}
	g := s.Leader.Renew(time.Now(), leader.Renewal{
		Instance:  instanceOf(r.Instance),
		Epoch:     r.Epoch,
		Revision:  r.Revision,
		Leaving:   r.Leaving,
		Gone:      r.Gone,
		Held:      r.HeldEpoch,
		ProbeRate: r.ProbeRate,
	})
	m := &wire.RenewResponse{
		NotLeader:   !g.Granted,
		Leader:      g.Leader,
		LeaseMillis: g.Lease.Milliseconds(),
		Epoch:       g.Epoch.Number,
		Settled:     g.Settled,
		Revision:    g.Config.Revision,
		Removed:     g.Config.Removed,
		Whole:       g.Config.Whole,
		ProbeRate:   g.ProbeRate,
	}
	if g.Epoch.Number != r.HeldEpoch {
		for _, n := range g.Epoch.Instances {
			m.Instances = append(m.Instances, instanceMessage(n))
		}
		m.DataCentres = g.Epoch.DataCentres
	}
	for _, f := range g.Config.Files {
		m.Files = append(m.Files, &wire.File{Name: f.Name, Content: f.Content})
	}
	return m, nil
}

// Propose implements wire.Control.
func (s *Server) Propose(ctx context.Context, p *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	s.calls.begin(p.Call)
	defer s.calls.end(p.Call)
	b, err := s.Log.Propose(ctx, p.Command)
	if errors.Is(err, snipefront.ErrNotLeader) {
		return &wire.ProposeResponse{NotLeader: true, Leader: s.Log.Leadership().Leader}, nil
	}
	if err != nil {
		return nil, err
	}
	return &wire.ProposeResponse{Result: b}, nil
}

// Read implements wire.Control.
func (s *Server) Read(_ context.Context, r *wire.ReadRequest) (*wire.ReadResponse, error) {
	if s.Leader == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this control quorum grants no leases")
	}
	v, ok := s.Leader.Overview(time.Now(), r.Revision)
	if !ok {
		return &wire.ReadResponse{NotLeader: true, Leader: s.Log.Leadership().Leader}, nil
	}
	var answer any = v
	if r.What == "History" {
		answer = leader.History{Changes: s.Leader.State.History()}
	}
	b, err := json.Marshal(answer)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return &wire.ReadResponse{Leader: v.Leader, Json: b}, nil
}

// Step implements wire.Control.
func (s *Server) Step(ctx context.Context, m *wire.StepRequest) (*wire.StepResponse, error) {
	if s.Steps == nil {
		return &wire.StepResponse{}, nil
	}
	replies, err := s.Steps(ctx, codec.ToMessages(m.Messages))
	if err != nil {
		return nil, err
	}
	return &wire.StepResponse{Messages: codec.Messages(replies)}, nil
}

func (s *Server) maxBytes() int64 {
	if s.MaxBytes == 0 {
		return defaultMaxBytes
	}
	return s.MaxBytes
}

func requestOf(f *wire.ForwardRequest) *snipefront.Request {
	return &snipefront.Request{
		Service:        f.Service,
		Method:         f.Method,
		Target:         f.Target,
		Header:         headerOf(f.Header),
		Body:           f.Body,
		Deadline:       time.Now().Add(time.Duration(f.TimeoutMicros) * time.Microsecond),
		Importance:     snipefront.Importance(min(f.Importance, math.MaxUint8)),
		IdempotencyKey: f.IdempotencyKey,
		Fingerprint:    f.Fingerprint,
		Idempotent:     f.Idempotent,
		Broken:         int(f.Broken),
		Forwarded:      true,
	}
}
