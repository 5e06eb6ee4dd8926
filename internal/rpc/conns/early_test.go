package conns_test

import (
	"net"
	"testing"

	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestProbeResetBeforeRequestFails guards against a probe that counts a part of an answer without a
// length as a whole one: the backend server reset the connection before the probe was written, whose
// write then took the error. Chance decides which call takes it, so it sends many.
func TestProbeResetBeforeRequestFails(t *testing.T) {
	const probes = 2000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go rawtcp.Serve(l, rawtcp.ResetAtOnce("HTTP/1.1 200 OK\r\n\r\npart"))
	answered := 0
	for range probes {
		if conns.Probe(t.Context(), "http://"+l.Addr().String()+"/health", nil) {
			answered++
		}
	}
	if answered > 0 {
		t.Errorf("%d of %d probes count as answered, want none", answered, probes)
	}
}
