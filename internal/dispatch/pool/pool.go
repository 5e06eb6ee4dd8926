// Package pool keeps connections to backend servers and exchanges one request at a
// time on each.
//
// A connection is used again only after a whole answer that belongs to its request,
// while nothing more has arrived on it, and well before the backend server would
// close it. What became of a request is told as a verdict: NotRun only where no
// byte of it was sent.
package pool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = 400 * time.Millisecond
	// readBuffer is the size of a connection's buffer in bytes.
	readBuffer = 4 << 10
	// defaultIdle is the time for which an unused connection is kept where the
	// backend server does not say its own.
	defaultIdle = 8 * time.Second
	// idleMargin is the time before the backend server's own limit at which an
	// unused connection is closed.
	idleMargin = time.Second
	// provenFor is the time after its last answer for which a connection counts as
	// working.
	provenFor = time.Second
	// maxIdle is the most unused connections that are kept to one backend server.
	maxIdle = 8
)

// Pool holds the unused connections by address. Its zero value is ready.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Conn is a connection that carries one request at a time.
type Conn struct {
	net.Conn
	// Reused is true where it has carried a request before.
	Reused  bool
	address string
	reader  *bufio.Reader
	used    time.Time
	// keep is the time for which it may stay unused.
	keep time.Duration
}

// Get returns an unused connection to address or opens one. Where proven is true
// it never returns one that was unused for over a second.
func (p *Pool) Get(ctx context.Context, address string, proven bool) (*Conn, error) {
	now := time.Now()
	for {
		c := p.take(address)
		if c == nil {
			return dial(ctx, address)
		}
		unused := now.Sub(c.used)
		if unused < c.keep && (!proven || unused < provenFor) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

// Put keeps c for another request.
func (p *Pool) Put(c *Conn) {
	c.Reused = true
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	list := p.idle[c.address]
	if len(list) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Drop closes the unused connections to address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Expire closes the connections that have been unused for too long.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var kept []*Conn
		for _, c := range list {
			if now.Sub(c.used) < c.keep {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// take returns the connection to address that was used last, or nil.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return &Conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer), keep: defaultIdle}, nil
}

// quiet returns whether the connection is open and nothing has arrived on it.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
