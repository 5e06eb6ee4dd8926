package pipe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// stallTime is how long an upload may pause while others need its memory.
const stallTime = time.Second

// upload is a body that is being read.
type upload struct {
	conn   *conn
	source io.Reader
	// size is the length of the body, or negative if it is unknown.
	size int64
	// timeout is the time in which the body must arrive.
	timeout time.Duration
	// continues is true if the caller waits for the status 100 before it sends the body.
	continues bool

	began    time.Time
	received atomic.Int64
	// last is when the last bytes arrived, in nanoseconds after began.
	last atomic.Int64
}

// Read implements io.Reader. The first call begins the upload.
func (u *upload) Read(b []byte) (int, error) {
	if !u.begun() {
		if err := u.begin(); err != nil {
			return 0, err
		}
	}
	n, err := u.source.Read(b)
	if n > 0 {
		u.received.Add(int64(n))
		u.last.Store(int64(time.Since(u.began)))
	}
	return n, err
}

func (u *upload) begun() bool { return !u.began.IsZero() }

func (u *upload) begin() error {
	if u.continues {
		if err := u.conn.askForBody(); err != nil {
			return err
		}
	}
	u.began = time.Now()
	u.conn.setReadTimeout(u.timeout)
	u.conn.server.uploads.add(u)
	return nil
}

// isBehind reports whether the upload pauses, or is too slow to arrive in its time.
func (u *upload) isBehind(now time.Time) bool {
	taken := now.Sub(u.began)
	if taken < stallTime {
		return false
	}
	due := float64(u.size) * taken.Seconds() / u.timeout.Seconds()
	return taken-time.Duration(u.last.Load()) > stallTime || float64(u.received.Load()) < due
}

// uploads are the bodies of all connections that are being read.
type uploads struct {
	mu  sync.Mutex
	all map[*upload]bool
}

func (s *uploads) add(u *upload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*upload]bool{}
	}
	s.all[u] = true
}

func (s *uploads) remove(u *upload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, u)
}

// endBehind ends the uploads that are behind, as if their time were over, and reports
// whether there were any.
func (s *uploads) endBehind(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := false
	for u := range s.all {
		if u.isBehind(now) {
			u.conn.setReadTimeout(time.Nanosecond)
			ended = true
		}
	}
	return ended
}
