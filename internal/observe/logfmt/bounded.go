package logfmt

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront/internal/clock/bucket"
)

const (
	// perSecond and burst bound the lines of one message.
	perSecond = 20
	burst     = 60
	// maxMessages bounds the messages that are told apart. All others share a bound.
	maxMessages = 256
	// maxQueued is the most lines that wait for a slow reader. Further ones are
	// dropped and counted.
	maxQueued = 1024
)

// Bounded is a slog.Handler that passes on a bounded number of lines of each
// message. The next line that passes tells how many were left out.
type Bounded struct {
	slog.Handler
	state *bounds
}

// bounds is shared by the handlers that derive from one.
type bounds struct {
	mu       sync.Mutex
	messages map[string]*bound
}

type bound struct {
	bucket  bucket.Bucket
	leftOut int
}

// NewBounded returns a handler before h.
func NewBounded(h slog.Handler) *Bounded {
	return &Bounded{Handler: h, state: &bounds{messages: map[string]*bound{}}}
}

// Handle implements slog.Handler.
func (b *Bounded) Handle(ctx context.Context, r slog.Record) error {
	leftOut, ok := b.state.take(r.Message, time.Now())
	if !ok {
		return nil
	}
	if leftOut > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("leftOut", leftOut))
	}
	return b.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (b *Bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Bounded{Handler: b.Handler.WithAttrs(attrs), state: b.state}
}

// WithGroup implements slog.Handler.
func (b *Bounded) WithGroup(name string) slog.Handler {
	return &Bounded{Handler: b.Handler.WithGroup(name), state: b.state}
}

func (s *bounds) take(message string, now time.Time) (leftOut int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.messages[message]
	if m == nil && len(s.messages) >= maxMessages {
		message = ""
		m = s.messages[message]
	}
	if m == nil {
		m = &bound{}
		s.messages[message] = m
	}
	if !m.bucket.Take(now, perSecond, burst) {
		m.leftOut++
		return 0, false
	}
	leftOut = m.leftOut
	m.leftOut = 0
	return leftOut, true
}

// Queue is an io.Writer that never waits: another goroutine writes to what is
// behind it. Set the exported field, then call Run.
type Queue struct {
	Writer io.Writer

	once    sync.Once
	queue   chan []byte
	dropped atomic.Int64
}

func (q *Queue) init() { q.once.Do(func() { q.queue = make(chan []byte, maxQueued) }) }

// Write implements io.Writer. It returns no error.
func (q *Queue) Write(b []byte) (int, error) {
	q.init()
	select {
	case q.queue <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Run writes until ctx ends, and then what is queued.
func (q *Queue) Run(ctx context.Context) error {
	q.init()
	for {
		select {
		case b := <-q.queue:
			if err := q.write(b); err != nil {
				return err
			}
		case <-ctx.Done():
			return q.flush()
		}
	}
}

// flush writes what is queued.
func (q *Queue) flush() error {
	for {
		select {
		case b := <-q.queue:
			if err := q.write(b); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (q *Queue) write(b []byte) error {
	if n := q.dropped.Swap(0); n > 0 {
		slog.New(slog.NewTextHandler(q.Writer, nil)).Warn("lines dropped, the reader of the log is slow", "lines", n)
	}
	_, err := q.Writer.Write(b)
	return err
}
