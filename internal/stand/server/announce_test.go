package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/stand/server"
)

// fakeInstance starts an instance that sends each announcement to announcements, with
// its own name in front, and responds with the status and body that answer returns.
// It returns its address.
func fakeInstance(t *testing.T, name string, announcements chan<- string, answer func() (int, string)) string {
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a struct {
			Name, Service, DataCentre, Address string
			Incarnation                        uint64
			Slots                              int
			Draining                           bool
		}
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil || r.Method != "POST" || r.URL.Path != "/.well-known/snipefront/announce" {
			t.Errorf("%s %s: %v", r.Method, r.URL, err)
		}
		select {
		case announcements <- fmt.Sprint(name, " ", a.Name, " ", a.Service, " ", a.DataCentre, " ", a.Incarnation, " ", a.Slots):
		default:
		}
		status, body := answer()
		w.WriteHeader(status)
		w.Write([]byte(body))
	}))
	t.Cleanup(h.Close)
	return h.Listener.Addr().String()
}

// TestAnnouncesToTheListedInstancesAndThenToTheSeeds guards against a server that no
// longer announces itself because the instance that the last answer listed refuses the
// announcement: it must then announce itself to the seeds again.
func TestAnnouncesToTheListedInstancesAndThenToTheSeeds(t *testing.T) {
	announcements := make(chan string, 5)
	var listed string
	listed = fakeInstance(t, "listed", announcements, func() (int, string) {
		return 503, `{"LeaseMilliseconds":60,"Instances":["` + listed + `"]}`
	})
	seed := fakeInstance(t, "seed", announcements, func() (int, string) {
		return 200, `{"LeaseMilliseconds":60,"Instances":["` + listed + `"]}`
	})
	ctx, stop := context.WithCancel(t.Context())
	s := &server.Server{Name: "b1", Service: "balance", DataCentre: "dc1", Incarnation: 7, Slots: 3, Seeds: []string{seed}}
	_, ended := start(t, ctx, s)
	for _, want := range []string{"seed", "listed", "seed", "listed", "seed"} {
		if a := <-announcements; a != want+" b1 balance dc1 7 3" {
			t.Errorf("announcement %q, want b1 balance dc1 7 3 at the %s instance", a, want)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestFrozenServerAnswersNothingUntilUnfrozen guards against a frozen server that runs
// or answers a request, and against one that forgets the request when it is unfrozen.
func TestFrozenServerAnswersNothingUntilUnfrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server.Server{}
		s.SetMode(server.Mode{Frozen: true})
		got := make(chan int, 1)
		go func() { got <- send(t.Context(), s, "GET", "") }()
		time.Sleep(time.Hour)
		if len(got) != 0 || s.Report().Runs != 0 {
			t.Errorf("while frozen: %d answers, %d runs, want none", len(got), s.Report().Runs)
		}
		s.SetMode(server.Mode{})
		if status := <-got; status != 200 {
			t.Errorf("after unfreezing: status %d, want 200", status)
		}
	})
}

// TestConnectionsAboveTheLimitAreClosed guards against a server that accepts more than
// MostConnections connections: it must close the next one without an answer.
func TestConnectionsAboveTheLimitAreClosed(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s := &server.Server{MostConnections: 1}
	url, ended := start(t, ctx, s)
	address := url[len("http://"):]
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	fmt.Fprint(first, "GET /.stand/health HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := first.Read(make([]byte, 1)); err != nil {
		t.Errorf("first connection: %v, want an answer", err)
	}
	second, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if b, err := io.ReadAll(second); len(b) > 0 {
		t.Errorf("second connection: read %q (error %v), want nothing", b, err)
	}
	if r := s.Report(); r.MostConnections != 1 || r.Disconnected != 1 {
		t.Errorf("report %+v, want MostConnections 1 and Disconnected 1", r)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
