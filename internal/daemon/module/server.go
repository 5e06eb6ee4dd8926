package module

import (
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipefront/snipefront/internal/config/setup"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/entry/admin"
	"github.com/snipefront/snipefront/internal/entry/calls"
	"github.com/snipefront/snipefront/internal/entry/enroll"
	"github.com/snipefront/snipefront/internal/entry/locate"
	"github.com/snipefront/snipefront/internal/rpc/meter"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// ownPrefix begins the paths that snipefront itself answers for callers and
	// backend servers.
	ownPrefix = "/.well-known/snipefront/"
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long a connection without a request stays open.
	idleTimeout = 2 * time.Minute
	// peerHeaderBytes bounds the header of a call between instances.
	peerHeaderBytes = 32 << 10
)

// servers are the HTTP servers of an instance.
type servers struct {
	caller   *http.Server
	peer     *http.Server
	operator *http.Server
	// meter counts the bytes of the control service on the listener of peer.
	meter *meter.Meter
}

func newServers(
	s setup.Settings, logger *slog.Logger, m *member.Member, t *meter.Meter,
	f *calls.Handler, at *locate.Handler, an *enroll.Handler, ad *admin.Admin, p *peers.Server,
) servers {
	own := mux.NewRouter()
	own.Handle(ownPrefix+"addresses", at).Methods(http.MethodGet)
	own.Handle(ownPrefix+"announce", an).Methods(http.MethodPost)
	between := mux.NewRouter()
	p.Route(between)
	operators := mux.NewRouter()
	ad.Route(operators)
	h := servers{
		caller:   newHTTP(closing(split(own, f), m.Leaving), s.MaxHeaderBytes, logger),
		peer:     newHTTP(between, peerHeaderBytes, logger),
		operator: newHTTP(operators, s.MaxHeaderBytes, logger),
		meter:    t,
	}
	h.peer.ConnContext = meter.Context
	return h
}

func newHTTP(h http.Handler, headerBytes int, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
}

// split hands the paths of snipefront itself to own and all others to services as
// they are.
func split(own, services http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		if strings.HasPrefix(h.URL.EscapedPath(), ownPrefix) {
			own.ServeHTTP(w, h)
			return
		}
		services.ServeHTTP(w, h)
	})
}

// closing asks callers to close their connections, by their next answers, while
// the instance is leaving. An idle connection stays open, since a request may be
// under way on it.
func closing(next http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, h)
	})
}
