package grant

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	// maxDatagramBytes bounds a datagram that is read.
	maxDatagramBytes = 4 << 10
	// tickInterval is the time between two checks for a stall and for lost contact.
	tickInterval = 50 * time.Millisecond
)

// datagram is what instances send each other. One of its fields is set.
type datagram struct {
	Ask      *Ask      `json:",omitempty"`
	Answer   *Answer   `json:",omitempty"`
	Handover *Handover `json:",omitempty"`
	// Ping is the name of an instance that asks for a Pong, which has the name of the
	// answering one.
	Ping string `json:",omitempty"`
	Pong string `json:",omitempty"`
}

// Listen opens the socket on address (host:port). Call it before Run.
func (s *Service) Listen(ctx context.Context, address string) error {
	var c net.ListenConfig
	socket, err := c.ListenPacket(ctx, "udp", address)
	if err != nil {
		return errors.Wrap(err, "listen for quotas")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init(time.Now())
	s.socket = socket
	return nil
}

// Run answers questions of other instances until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.socket.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "read datagram")
		case err != nil:
			continue // an ICMP message on an earlier datagram
		}
		s.receive(buffer[:n], from)
	}
}

// Watch notices stalls of the process and lost contact until ctx ends.
func (s *Service) Watch(ctx context.Context) error {
	return timer.Every(ctx, tickInterval, s.tick)
}

// receive handles a datagram.
func (s *Service) receive(text []byte, from net.Addr) {
	var d datagram
	if err := json.Unmarshal(text, &d); err != nil {
		s.Logger.Debug("unreadable datagram", "address", from.String(), "error", err)
		return
	}
	now := time.Now()
	switch {
	case d.Ask != nil:
		if a, ok := s.handleAsk(now, *d.Ask); ok {
			s.write(from, datagram{Answer: &a})
		}
	case d.Answer != nil:
		s.handleAnswer(now, *d.Answer)
	case d.Handover != nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.init(now)
		s.owner.TakeOver(now, *d.Handover)
	case d.Ping != "":
		s.write(from, datagram{Pong: s.Self})
	case d.Pong != "":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reach.pong(now, d.Pong)
	}
}

// send sends d to an instance. The lock is held.
func (s *Service) send(address string, d datagram) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil || s.socket == nil {
		s.Logger.Debug("cannot send a datagram", "address", address, "error", err)
		return
	}
	s.write(to, d)
}

// write sends d. A datagram that can't be sent counts as lost.
func (s *Service) write(to net.Addr, d datagram) {
	text, err := json.Marshal(d)
	if err == nil {
		_, err = s.socket.WriteTo(text, to)
	}
	if err != nil {
		s.Logger.Debug("cannot send a datagram", "address", to.String(), "error", err)
	}
}
