package writes_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/rpc/writes"
)

// heldDials opens connections, but hands over each of them only when its number, counted from
// 1, is released.
type heldDials struct {
	begun    atomic.Int32
	released [4]chan struct{}
}

// newHeldDials returns dials that are all released when the test ends.
func newHeldDials(t *testing.T) *heldDials {
	var d heldDials
	for i := range d.released {
		d.released[i] = make(chan struct{}, 2)
	}
	t.Cleanup(func() {
		for i := range d.released {
			d.release(i)
		}
	})
	return &d
}

func (d *heldDials) release(n int) { d.released[n] <- struct{}{} }

// wait returns once the opening of the connection with number n has begun.
func (d *heldDials) wait(t *testing.T, n int32) {
	t.Helper()
	for end := time.Now().Add(testTimeout); d.begun.Load() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are being opened, want %d", d.begun.Load(), n)
		}
	}
}

// dial ignores the end of the context, which comes too late for a connection that is open.
func (d *heldDials) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n := d.begun.Add(1)
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	<-d.released[n]
	return c, err
}

// TestConnectionOpenedForEarlierRequestIsNotNew guards against losing a request on a half-open
// connection that counts as new. Its opening began for an earlier request, which another
// connection served, and it was handed over late. A connection whose opening began later than
// the request is new, however short the idle time allowed.
func TestConnectionOpenedForEarlierRequestIsNotNew(t *testing.T) {
	for name, test := range map[string]struct {
		deliver int
		tooLong bool
	}{
		"opened for an earlier request": {2, true},
		"opened for this request":       {3, false},
	} {
		t.Run(name, func(t *testing.T) {
			answer, arrived := make(chan struct{}), make(chan struct{}, 3)
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				arrived <- struct{}{}
				<-answer
			}))
			t.Cleanup(server.Close)
			d := newHeldDials(t)
			transport := &http.Transport{DialContext: writes.Wrap(d.dial)}
			t.Cleanup(transport.CloseIdleConnections)

			ended := make(chan error, 3)
			send := func(tracker *writes.Tracker) {
				ended <- roundTrip(t, transport, tracker, server.URL)
			}
			d.release(1)
			go send(&writes.Tracker{})
			<-arrived
			go send(&writes.Tracker{})
			d.wait(t, 2)
			close(answer)
			for range 2 {
				if err := <-ended; err != nil {
					t.Fatal(err)
				}
			}
			transport.CloseIdleConnections()

			tracker := &writes.Tracker{MaxIdle: time.Nanosecond}
			go send(tracker)
			d.wait(t, 3)
			d.release(test.deliver)
			err := <-ended
			if got := tracker.IdleTooLong(); got != test.tooLong || (err != nil) != test.tooLong {
				t.Errorf("the connection counts as idle for too long: %v, and the request ended with %v; want %v", got, err, test.tooLong)
			}
			if wrote := tracker.Wrote(); wrote == test.tooLong {
				t.Errorf("the request was sent: %v, want %v", wrote, !test.tooLong)
			}
		})
	}
}

// roundTrip sends a request that tracker tracks. Its body can't be rewound, so that the
// transport doesn't send it again by itself.
func roundTrip(t *testing.T, transport *http.Transport, tracker *writes.Tracker, url string) error {
	req, err := http.NewRequestWithContext(tracker.With(t.Context()), http.MethodPost, url, io.NopCloser(strings.NewReader("x")))
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
