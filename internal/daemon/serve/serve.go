// Package serve runs the HTTP servers and the controllers of a process, each in a
// goroutine of its own, and collects their errors.
package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/rpc/alive"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 32 << 10
	// shutdownTimeout bounds the wait for the calls in flight when a server stops.
	shutdownTimeout = time.Second
)

// Group is a group of goroutines of a process. Set the exported field before use. Its
// methods must be called from one goroutine.
type Group struct {
	Logger *slog.Logger

	results chan result
	running int
}

// result is the name of a function that returned, and its error.
type result struct {
	name string
	err  error
}

// Go runs f in a goroutine. f must return when ctx ends. The name identifies f
// in errors and log messages.
func (g *Group) Go(ctx context.Context, name string, f func(ctx context.Context) error) {
	if g.results == nil {
		g.results = make(chan result)
	}
	g.running++
	go func() { g.results <- result{name: name, err: f(ctx)} }()
}

// HTTP starts a server for h on address (host:port), which runs until ctx ends and the calls
// in flight are answered, or shutdownTimeout is over. It returns an error if it can't listen.
// The name identifies the server in errors and log messages.
func (g *Group) HTTP(ctx context.Context, name, address string, h http.Handler) error {
	l, err := Listen(ctx, address)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.Logger.Handler(), slog.LevelDebug),
	}
	alive.Watch(s)
	g.Go(ctx, name, func(ctx context.Context) error {
		ended := make(chan struct{})
		stop := context.AfterFunc(ctx, func() {
			defer close(ended)
			shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
			defer cancel()
			if err := s.Shutdown(shutdownCtx); err != nil {
				s.Close()
			}
		})
		err := s.Serve(l)
		if !stop() {
			<-ended // Serve returns once Shutdown begins
		}
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return nil
}

// Wait waits until all functions have returned. It returns the first error.
func (g *Group) Wait() error {
	var first error
	for ; g.running > 0; g.running-- {
		e := <-g.results
		if e.err != nil {
			g.Logger.Error("task failed", "task", e.name, "error", e.err)
		}
		if first == nil && e.err != nil {
			first = errors.Wrap(e.err, e.name)
		}
	}
	return first
}

// Listen opens a TCP listener on address (host:port).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	return l, errors.Wrap(err, "listen")
}
