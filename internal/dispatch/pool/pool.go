// Package pool keeps idle connections to backend servers and exchanges one request at
// a time on each.
//
// A connection is reused only after a complete answer to its own request, while no
// further byte has arrived on it, and well before the backend server would close it.
// It carries no request twice, so that a copy of an answer to the first sending, above all of
// a refusal, can't be taken for the answer to the second. The ids of requests tell them apart.
// An answer without a length is complete only if the backend server has ended its connection.
// A request counts as not run only if no byte of it was sent.
package pool

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/rpc/resets"
)

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = 400 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is the time for which an idle connection is kept if the
	// backend server does not announce a shorter one.
	defaultIdleTimeout = 8 * time.Second
	// maxIdleSeconds bounds the idle timeout that a backend server names, in seconds.
	maxIdleSeconds = 3600
	// idleMargin is how long before the idle timeout of the backend server an idle
	// connection is closed.
	idleMargin = time.Second
	// provenFor is the time after its last answer for which an idle connection is
	// proven, that is, assumed to work.
	provenFor = time.Second
	// maxRequests is the maximum number of requests that a connection carries. It bounds
	// the ids that are kept.
	maxRequests = 512
)

// Pool holds the idle connections by address. Its zero value is ready to use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Conn is a connection that carries one request at a time.
type Conn struct {
	*resets.Conn
	// Reused is true if the connection has carried a request before.
	Reused  bool
	address string
	limit   *headLimit
	reader  *bufio.Reader
	// heard is the time of its last answer or, before the first, of its opening.
	heard time.Time
	// idleTimeout is the time for which the connection may be idle.
	idleTimeout time.Duration
	// carried holds the hashes of the ids of all requests that it has carried.
	carried []uint64
}

// hashSeed is the seed of the hashes of ids.
var hashSeed = maphash.MakeSeed()

func hashOf(id string) uint64 { return maphash.String(hashSeed, id) }

// Get returns an idle connection to address or opens one. If proven is true, it reuses
// only a connection that was idle for less than a second.
func (p *Pool) Get(ctx context.Context, address string, proven bool) (*Conn, error) {
	return p.get(ctx, address, proven, func(*Conn) bool { return true })
}

// GetFor is Get for the request with the id. It reuses no connection that has carried that
// request, and none at all if the id is empty.
func (p *Pool) GetFor(ctx context.Context, address string, proven bool, id string) (*Conn, error) {
	if id == "" {
		return p.Dial(ctx, address)
	}
	h := hashOf(id)
	return p.get(ctx, address, proven, func(c *Conn) bool { return !slices.Contains(c.carried, h) })
}

// get is Get among the connections that may be reused.
func (p *Pool) get(ctx context.Context, address string, proven bool, may func(c *Conn) bool) (*Conn, error) {
	now := time.Now()
	for {
		c := p.pop(address, may)
		if c == nil {
			return p.Dial(ctx, address)
		}
		idle := now.Sub(c.heard)
		if idle < c.idleTimeout && (!proven || idle < provenFor) && c.isUsable() {
			return c, nil
		}
		c.Close()
	}
}

// Put adds c to the idle connections, or closes it if there are maxIdle to its address.
func (p *Pool) Put(c *Conn, maxIdle int) {
	c.Reused = true
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

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Expire closes the connections whose idle timeout has passed.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var kept []*Conn
		for _, c := range list {
			if now.Sub(c.heard) < c.idleTimeout {
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

// pop removes and returns the connection to address that was put back last, of those that
// may be reused. It returns nil if there is none.
func (p *Pool) pop(address string, may func(c *Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; may(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// carry records that the request with the id is sent on c. It reports whether c may be
// reused after that.
func (c *Conn) carry(id string) bool {
	c.carried = append(c.carried, hashOf(id))
	return id != "" && len(c.carried) < maxRequests
}

// Dial opens a connection to address.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	conn := &resets.Conn{Conn: c}
	limit := &headLimit{r: conn, left: -1}
	return &Conn{
		Conn: conn, address: address, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes),
		heard: time.Now(), idleTimeout: defaultIdleTimeout,
	}, nil
}

// isUsable reports whether the connection is open and has no unread bytes. It peeks at
// the socket without waiting: EAGAIN means that neither a byte nor the end has arrived.
func (c *Conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}
