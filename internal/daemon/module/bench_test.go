package module_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/fx"

	"github.com/snipefront/snipefront/internal/config/setup"
	"github.com/snipefront/snipefront/internal/daemon/module"
)

// post sends body as JSON and returns the status, or 0 if there is no answer.
func post(b testing.TB, url string, body any) int {
	text, err := json.Marshal(body)
	if err != nil {
		b.Error(err)
		return 0
	}
	r, err := http.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// addresses are the listen addresses of one instance.
type addresses struct{ callers, operators, peers string }

// start starts an instance that is the only member of its control quorum, until the test ends.
func start(b testing.TB) addresses {
	a, stop := startUntil(b)
	b.Cleanup(func() {
		if err := stop(context.Background()); err != nil {
			b.Error(err)
		}
	})
	return a
}

// startUntil starts an instance that is the only member of its control quorum. It returns a
// function that stops it as planned.
func startUntil(b testing.TB) (a addresses, stop func(context.Context) error) {
	s := setup.Settings{
		Instance:        "a",
		DataCentre:      "dc1",
		CallerAddress:   "127.0.0.1:0",
		PeerAddress:     "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		DataFolder:      b.TempDir(),
		MaxBodyBytes:    1 << 20,
		MaxHeaderBytes:  16 << 10,
		Lease:           2 * time.Second,
		Renew:           400 * time.Millisecond,
	}
	sock, err := module.Listen(b.Context(), s)
	if err != nil {
		b.Fatal(err)
	}
	s.Control = []setup.ControlMember{{Instance: "a", PeerAddress: sock.Peer.Addr().String()}}
	app := fx.New(module.Options(s, sock, slog.New(slog.NewTextHandler(io.Discard, nil))))
	if err := app.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	return addresses{
		callers:   sock.Caller.Addr().String(),
		operators: sock.Operator.Addr().String(),
		peers:     sock.Peer.Addr().String(),
	}, app.Stop
}

// fleet starts one instance and one backend server with 64 slots. It returns the URLs
// of the service through the instance and at the backend server itself.
func fleet(b testing.TB) (through, direct string) {
	a := start(b)
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write(bytes.Repeat([]byte("x"), 512))
	}))
	b.Cleanup(back.Close)
	configure(b, a)
	announcement := newAnnouncement("b", back.Listener.Addr().String())
	await(b, func() bool { return announce(b, a, announcement) })
	go func() {
		for b.Context().Err() == nil {
			time.Sleep(time.Second)
			announce(b, a, announcement)
		}
	}()
	through = "http://" + a.callers + "/balance/17"
	await(b, func() bool { return get(b, through) == nil })
	return through, back.URL + "/balance/17"
}

// configure adds the service balance to the configuration.
func configure(b testing.TB, a addresses) {
	config := struct {
		ChangeID string
		Version  uint64
		Files    []any
	}{ChangeID: "c", Files: []any{struct {
		Name    string
		Content any
	}{"a.json", json.RawMessage(`{"Kind":"Service","Name":"balance","ColdLimit":64,"WarmUp":"0s"}`)}}}
	await(b, func() bool { return post(b, "http://"+a.operators+"/v1/config", config) == http.StatusOK })
}

// announcement is the JSON body with which a backend server announces itself.
type announcement struct {
	Name, Service, DataCentre, Address string
	Incarnation                        uint64
	Slots                              int
}

func newAnnouncement(name, address string) announcement {
	return announcement{name, "balance", "dc1", address, 1, 64}
}

func announce(b testing.TB, a addresses, n announcement) bool {
	return post(b, "http://"+a.callers+"/.well-known/snipefront/announce", n) == http.StatusOK
}

func await(b testing.TB, ok func() bool) {
	b.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("timed out waiting for a condition")
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{}).DialContext}}

func get(b testing.TB, url string) error {
	r, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	return nil
}

// BenchmarkCall compares calls through an instance with direct calls, one at a time and
// in parallel.
func BenchmarkCall(b *testing.B) {
	through, direct := fleet(b)
	for _, x := range []struct{ name, url string }{{"direct", direct}, {"through", through}} {
		b.Run(x.name+"/single", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := get(b, x.url); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(x.name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if err := get(b, x.url); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
