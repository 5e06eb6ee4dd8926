package module

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/config/setup"
)

// Sockets are the listeners of an instance, open before anything else starts.
type Sockets struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen opens the listeners that the settings name. Where one fails, none stays
// open.
func Listen(ctx context.Context, s setup.Settings) (Sockets, error) {
	var sock Sockets
	var listener net.ListenConfig
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&sock.Caller, s.CallerAddress},
		{&sock.Peer, s.PeerAddress},
		{&sock.Operator, s.OperatorAddress},
	} {
		n, err := listener.Listen(ctx, "tcp", l.address)
		if err != nil {
			sock.Close()
			return Sockets{}, errors.Wrap(err, "listen")
		}
		*l.into = n
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
