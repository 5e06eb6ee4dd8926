package module

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/config/setup"
)

// Sockets are the listeners of an instance. They are opened before anything else starts.
type Sockets struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen opens the listeners on the addresses in s. If one fails, it closes the others
// and returns an error.
func Listen(ctx context.Context, s setup.Settings) (Sockets, error) {
	var sock Sockets
	var config net.ListenConfig
	for _, l := range []struct {
		dst     *net.Listener
		address string
	}{
		{&sock.Caller, s.CallerAddress},
		{&sock.Peer, s.PeerAddress},
		{&sock.Operator, s.OperatorAddress},
	} {
		n, err := config.Listen(ctx, "tcp", l.address)
		if err != nil {
			sock.Close()
			return Sockets{}, errors.Wrap(err, "listen")
		}
		*l.dst = n
	}
	return sock, nil
}

// Close closes the listeners that are open.
func (s Sockets) Close() {
	for _, l := range []net.Listener{s.Caller, s.Peer, s.Operator} {
		if l != nil {
			l.Close()
		}
	}
}
