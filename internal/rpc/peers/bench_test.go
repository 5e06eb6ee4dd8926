package peers_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/quorum/memlog"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// countingListener accepts connections that count the bytes of both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// echoOwner accepts announcements and answers requests with their header and body.
type echoOwner struct{}

func (echoOwner) HandleForward(_ context.Context, _ snipefront.Cell, r *snipefront.Request, _ bool) (peers.Answer, error) {
	return peers.Answer{Response: &snipefront.Response{Status: http.StatusOK, Header: r.Header, Body: r.Body}}, nil
}

func (echoOwner) HandleAnnouncement(snipefront.BackendServer) time.Duration { return time.Second }

// startControl starts a control instance and returns its address and the number of
// bytes that it sends and receives.
func startControl(b *testing.B, l *leader.Leader) (string, *atomic.Int64) {
	r := mux.NewRouter()
	(&peers.Server{Owner: echoOwner{}, Leader: l, Log: l.Log}).Route(r)
	s := httptest.NewUnstartedServer(r)
	bytes := &atomic.Int64{}
	s.Listener = countingListener{s.Listener, bytes}
	s.Start()
	b.Cleanup(s.Close)
	return s.Listener.Addr().String(), bytes
}

func newLeader(files int) *leader.Leader {
	s := &state.State{}
	l := &leader.Leader{
		Log:         &memlog.Log{Name: "c0", Machine: s},
		State:       s,
		Lease:       2 * time.Second,
		ProbeBudget: func() float64 { return 20 },
		Logger:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	var list []state.File
	for n := range files {
		list = append(list, newFile(n, 0))
	}
	applyChange(s, nil, list)
	return l
}

func newFile(n, version int) state.File {
	return state.File{
		Name:    fmt.Sprintf("service-%04d.json", n),
		Content: fmt.Appendf(nil, `{"Kind":"Service","Name":"service-%04d","Importance":"Critical","Deadline":"250ms","ColdLimit":1,"WarmUp":"%ds"}`, n, version),
	}
}

func applyChange(s *state.State, current map[string]json.RawMessage, list []state.File) {
	c := state.Diff(current, s.Revision(), list)
	c.ChangeID = fmt.Sprint(s.Revision())
	b, err := state.Command{Config: &c}.Encode()
	if err != nil {
		panic(err)
	}
	s.Apply(0, b)
}

func newInstance(n int) snipefront.Instance {
	return snipefront.Instance{
		Name:          fmt.Sprintf("instance-%03d", n),
		DataCentre:    "dc1",
		CallerAddress: "10.1.20.30:8100",
		PeerAddress:   "10.1.20.30:7100",
		Incarnation:   1,
	}
}

// BenchmarkRenew measures one renewal without changes over loopback, by the number of
// members. The leader has 100 files.
func BenchmarkRenew(b *testing.B) {
	for _, members := range []int{16, 300, 1000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			l := newLeader(100)
			epoch := state.EpochChange{}
			for n := range members {
				epoch.Instances = append(epoch.Instances, newInstance(n))
			}
			command, err := state.Command{Epoch: &epoch}.Encode()
			if err != nil {
				b.Fatal(err)
			}
			l.State.Apply(0, command)
			for n := range members {
				l.Renew(time.Now(), leader.Renewal{Instance: newInstance(n), Revision: 1})
			}
			address, bytes := startControl(b, l)
			c := &peers.Client{}
			r := leader.Renewal{Instance: newInstance(0), Revision: 1, Held: 1, Epoch: 1}
			if _, err := c.Renew(b.Context(), address, r); err != nil {
				b.Fatal(err)
			}
			bytes.Store(0)
			for b.Loop() {
				if _, err := c.Renew(b.Context(), address, r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkDelta measures the leader's work for a renewal whose answer has one changed
// file, by the number of files in force.
func BenchmarkDelta(b *testing.B) {
	for _, files := range []int{100, 3300} {
		b.Run(fmt.Sprintf("files=%d", files), func(b *testing.B) {
			l := newLeader(files)
			list := make([]state.File, files)
			current := map[string]json.RawMessage{}
			for n := range files {
				list[n] = newFile(n, 0)
				current[list[n].Name] = list[n].Content
			}
			list[0] = newFile(0, 1)
			applyChange(l.State, current, list)
			r := leader.Renewal{Instance: newInstance(0), Revision: 1}
			for b.Loop() {
				if g := l.Renew(time.Now(), r); len(g.Config.Files) != 1 {
					b.Fatal(len(g.Config.Files))
				}
			}
		})
	}
}

// BenchmarkAnnounce measures forwarding one announcement over loopback.
func BenchmarkAnnounce(b *testing.B) {
	address, bytes := startControl(b, newLeader(1))
	c := &peers.Client{}
	s := snipefront.BackendServer{
		Name:        "balance-17",
		Service:     "balance",
		DataCentre:  "dc1",
		Address:     "10.1.20.30:9001",
		Incarnation: uint64(time.Now().UnixNano()),
		Slots:       3,
	}
	if _, err := c.Announce(b.Context(), address, s); err != nil {
		b.Fatal(err)
	}
	bytes.Store(0)
	for b.Loop() {
		if _, err := c.Announce(b.Context(), address, s); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkForward measures forwarding one request without a body over loopback.
func BenchmarkForward(b *testing.B) {
	address, _ := startControl(b, newLeader(1))
	c := &peers.Client{}
	r := &snipefront.Request{
		Service:  "balance",
		Method:   http.MethodGet,
		Target:   "/balance/17",
		Header:   http.Header{"Accept": {"*/*"}, "User-Agent": {"till"}},
		Deadline: time.Now().Add(time.Hour),
	}
	for b.Loop() {
		if _, err := c.Forward(b.Context(), address, 1, snipefront.Cell{Service: "balance", DataCentre: "dc1"}, r, false); err != nil {
			b.Fatal(err)
		}
	}
}
