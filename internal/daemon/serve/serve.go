// Package serve runs the HTTP servers and the controllers of a process: each in a
// goroutine that reports its end to the Group that started it.
package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	headerBytes   = 32 << 10
	// closeTimeout bounds the wait for the calls in flight when a server closes.
	closeTimeout = time.Second
)

// Group is what a process runs. Set the exported field before use. Its methods are
// called from one goroutine.
type Group struct {
	Logger *slog.Logger

	ended   chan end
	running int
}

// end is how something that ran has ended.
type end struct {
	name string
	err  error
}

// Go runs f until ctx ends.
func (g *Group) Go(ctx context.Context, name string, f func(ctx context.Context) error) {
	if g.ended == nil {
		g.ended = make(chan end)
	}
	g.running++
	go func() { g.ended <- end{name: name, err: f(ctx)} }()
}

// HTTP serves h on address until ctx ends.
func (g *Group) HTTP(ctx context.Context, name, address string, h http.Handler) error {
	l, err := Listen(ctx, address)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          slog.NewLogLogger(g.Logger.Handler(), slog.LevelDebug),
	}
	g.Go(ctx, name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() {
			closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
			defer cancel()
			if err := s.Shutdown(closing); err != nil {
				s.Close()
			}
		})
		defer stop()
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return nil
}

// Wait waits until all that runs has ended and returns the first error.
func (g *Group) Wait() error {
	var first error
	for ; g.running > 0; g.running-- {
		e := <-g.ended
		if e.err != nil {
			g.Logger.Error("ended", "what", e.name, "error", e.err)
		}
		if first == nil && e.err != nil {
			first = errors.Wrap(e.err, e.name)
		}
	}
	return first
}

// Listen opens a listener on address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	return l, errors.Wrap(err, "listen")
}
