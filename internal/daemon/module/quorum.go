package module

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/setup"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/driver"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// newReplica returns the replica of the log, or nil if the instance is not a member of
// the control quorum. The replica starts before the rest of the instance and stops
// after it.
func newReplica(f fx.Lifecycle, s setup.Settings, c controlMembers, st *state.State, p *peers.Client, logger *slog.Logger) (*driver.Log, error) {
	if !s.IsControl() {
		return nil, nil
	}
	folder := &disk.Folder{Path: s.DataFolder}
	saved, err := folder.Open()
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	l := &driver.Log{
		Name:    s.Instance,
		Control: c,
		Machine: st,
		Storage: folder,
		Saved:   saved,
		Caller:  p,
		Lease:   s.Lease,
		Random:  rand.Int64N,
		Logger:  logger,
	}
	f.Append(replicaHook(l, logger))
	return l, nil
}

func replicaHook(l *driver.Log, logger *slog.Logger) fx.Hook {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	return fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				err := l.Run(ctx)
				if err != nil {
					logger.Error("log replica failed", "error", err)
				}
				done <- err
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			cancel()
			select {
			case err := <-done:
				return err
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "stop the log replica")
			}
		},
	}
}

// newLog returns the replica as a Log. Without a replica it returns a nil interface.
func newLog(l *driver.Log) snipefront.Log {
	if l == nil {
		return nil
	}
	return l
}
