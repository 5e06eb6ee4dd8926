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
	// wellKnownPrefix is the prefix of the paths at which snipefront itself answers
	// callers and backend servers.
	wellKnownPrefix = "/.well-known/snipefront/"
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
	// peerHeaderBytes bounds the header of a call between instances.
	peerHeaderBytes = 32 << 10
)

// servers are the HTTP servers of an instance.
type servers struct {
	caller   *http.Server
	peer     *http.Server
	operator *http.Server
	// meter counts the bytes of control calls on the connections of peer.
	meter *meter.Meter
}

func newServers(
	s setup.Settings, logger *slog.Logger, m *member.Member, byteMeter *meter.Meter,
	callHandler *calls.Handler, locateHandler *locate.Handler, enrollHandler *enroll.Handler, adminHandler *admin.Admin, peerServer *peers.Server,
) servers {
	wellKnown := mux.NewRouter()
	wellKnown.Handle(wellKnownPrefix+"addresses", locateHandler).Methods(http.MethodGet)
	wellKnown.Handle(wellKnownPrefix+"announce", enrollHandler).Methods(http.MethodPost)
	peerRouter := mux.NewRouter()
	peerServer.Route(peerRouter)
	operatorRouter := mux.NewRouter()
	adminHandler.Route(operatorRouter)
	h := servers{
		caller:   newHTTPServer(closeWhileLeaving(splitPaths(wellKnown, callHandler), m.Leaving), s.MaxHeaderBytes, logger),
		peer:     newHTTPServer(peerRouter, peerHeaderBytes, logger),
		operator: newHTTPServer(operatorRouter, s.MaxHeaderBytes, logger),
		meter:    byteMeter,
	}
	h.peer.ConnContext = meter.Context
	return h
}

func newHTTPServer(h http.Handler, headerBytes int, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
}

// splitPaths returns a handler that passes requests of snipefront's own paths to
// wellKnown and all others, unchanged, to services.
func splitPaths(wellKnown, services http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.EscapedPath(), wellKnownPrefix) {
			wellKnown.ServeHTTP(w, r)
			return
		}
		services.ServeHTTP(w, r)
	})
}

// closeWhileLeaving returns a handler that, while the instance leaves the fleet, asks
// callers with each answer to close the connection. Until Shutdown, it closes no idle
// connection: the caller may have begun to send a request on it.
func closeWhileLeaving(next http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
