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
	// linesPerSecond and burstLines bound the lines with the same message.
	linesPerSecond = 20
	burstLines     = 60
	// maxMessages bounds the messages that have a limit of their own. All others share
	// one.
	maxMessages = 256
	// maxQueuedLines bounds the lines that wait for a slow writer. Further lines are
	// dropped and counted.
	maxQueuedLines = 1024
)

// RateLimiter is a slog.Handler that limits the rate of lines with the same message. The
// next line that is written has the number of suppressed ones as attribute leftOut.
type RateLimiter struct {
	slog.Handler
	limits *limits
}

// limits holds the limit of each message. A handler shares it with those that
// WithAttrs and WithGroup derive from it.
type limits struct {
	mu       sync.Mutex
	messages map[string]*limit
}

type limit struct {
	bucket     bucket.Bucket
	suppressed int
}

// NewRateLimiter returns a handler that writes to h.
func NewRateLimiter(h slog.Handler) *RateLimiter {
	return &RateLimiter{Handler: h, limits: &limits{messages: map[string]*limit{}}}
}

// Handle implements slog.Handler.
func (l *RateLimiter) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := l.limits.allow(r.Message, time.Now())
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("leftOut", suppressed))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *RateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RateLimiter{Handler: l.Handler.WithAttrs(attrs), limits: l.limits}
}

// WithGroup implements slog.Handler.
func (l *RateLimiter) WithGroup(name string) slog.Handler {
	return &RateLimiter{Handler: l.Handler.WithGroup(name), limits: l.limits}
}

// allow reports whether a line with message may be written now. If so, it returns the
// number of lines that were suppressed since the last one.
func (l *limits) allow(message string, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.messages[message]
	if m == nil && len(l.messages) >= maxMessages {
		message = ""
		m = l.messages[message]
	}
	if m == nil {
		m = &limit{}
		l.messages[message] = m
	}
	if !m.bucket.Take(now, linesPerSecond, burstLines) {
		m.suppressed++
		return 0, false
	}
	suppressed = m.suppressed
	m.suppressed = 0
	return suppressed, true
}

// Queue is an io.Writer that never blocks: Run writes the queued lines to Writer in
// another goroutine. Set the exported field, then call Run.
type Queue struct {
	Writer io.Writer

	once    sync.Once
	queue   chan []byte
	dropped atomic.Int64
}

func (q *Queue) init() { q.once.Do(func() { q.queue = make(chan []byte, maxQueuedLines) }) }

// Write queues b as one line, or drops it if the queue is full. It returns no error.
func (q *Queue) Write(b []byte) (int, error) {
	q.init()
	select {
	case q.queue <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Run writes queued lines until ctx ends, and then the rest of the queue. It returns
// the first error of Writer.
func (q *Queue) Run(ctx context.Context) error {
	q.init()
	for {
		select {
		case b := <-q.queue:
			if err := q.writeLine(b); err != nil {
				return err
			}
		case <-ctx.Done():
			return q.flush()
		}
	}
}

// flush writes the rest of the queue.
func (q *Queue) flush() error {
	for {
		select {
		case b := <-q.queue:
			if err := q.writeLine(b); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (q *Queue) writeLine(b []byte) error {
	if n := q.dropped.Swap(0); n > 0 {
		slog.New(slog.NewTextHandler(q.Writer, nil)).Warn("log lines dropped, output is too slow", "lines", n)
	}
	_, err := q.Writer.Write(b)
	return err
}
