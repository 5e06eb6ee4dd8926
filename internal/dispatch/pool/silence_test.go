package pool_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/pool"
)

// TestConnectionPutBackUnusedIsNotProven guards against losing a request on a half-open
// connection that counts as proven since it was taken and put back, though nothing was sent
// on it since its last answer.
func TestConnectionPutBackUnusedIsNotProven(t *testing.T) {
	const unproven = 1100 * time.Millisecond
	address := serve(t, serveAnswers(respond))
	p := &pool.Pool{}
	if _, _, err := exchange(t, p, address, "1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(unproven)
	c, err := p.Get(t.Context(), address, false)
	if err != nil || !c.Reused {
		t.Fatalf("got no idle connection: %v", err)
	}
	p.Put(c, 8)
	c, err = p.Get(t.Context(), address, true)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if c.Reused {
		t.Errorf("a connection whose last answer came over %v ago counts as proven", unproven)
	}
}
