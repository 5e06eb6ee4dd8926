package driver

import (
	"context"

	"github.com/pkg/errors"
)

// Leave has the other replicas of an open group go on without this one, so that it doesn't count
// while its process is away. It returns once the leader has removed the replica or has refused to,
// since the others are too few. It fails if the replica stops or ctx ends first, as without a leader.
func (l *Log) Leave(ctx context.Context) error {
	l.init()
	l.leaveOnce.Do(func() { close(l.leave) })
	select {
	case <-l.left:
		return nil
	case <-l.stopped:
		return errStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "leave the log's group")
	}
}

// reportLeft closes left once a call of Leave is answered.
func (l *Log) reportLeft() {
	ok, refused := l.replica.HasLeft()
	if !ok {
		return
	}
	select {
	case <-l.left:
	default:
		close(l.left)
		l.Logger.Info("log replica may end", "removed", !refused)
	}
}
