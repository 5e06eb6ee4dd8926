package enroll_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/entry/enroll"
)

// fakeInstances records the announcements that are forwarded or recorded locally.
type fakeInstances struct {
	// unreachable is the address whose announcements fail, or "all".
	unreachable string
	// self is the instance that receives the announcement from the backend server.
	// If it is empty, that instance is neither the owner nor the standby.
	self string

	mu        sync.Mutex
	forwarded []string
	local     int
}

func (f *fakeInstances) Announce(_ context.Context, address string, _ snipefront.BackendServer) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forwarded = append(f.forwarded, address)
	if address == f.unreachable || f.unreachable == "all" {
		return 0, errors.New("unreachable")
	}
	return time.Second, nil
}

// HandleAnnouncement implements enroll.Local.
func (f *fakeInstances) HandleAnnouncement(snipefront.BackendServer) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.local++
	return time.Minute
}

func announce(f *fakeInstances, body string) *httptest.ResponseRecorder {
	v := &member.View{Epoch: snipefront.Epoch{Number: 1, Instances: []snipefront.Instance{
		{Name: "a", DataCentre: "d", CallerAddress: "caller-a", PeerAddress: "a"},
		{Name: "b", DataCentre: "d", CallerAddress: "caller-b", PeerAddress: "b"},
		{Name: "c", DataCentre: "d", CallerAddress: "caller-c", PeerAddress: "c"},
	}}}
	h := &enroll.Handler{Self: f.self, View: func() *member.View { return v }, Local: f, Passer: f}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
	return w
}

const valid = `{"Name":"n","Service":"s","DataCentre":"d","Address":"127.0.0.1:1","Incarnation":1,"Slots":3}`

// TestAnnouncementReachesOwnerAndStandby guards against an answer that names an
// instance which did not record the announcement, as happens if one is unreachable.
func TestAnnouncementReachesOwnerAndStandby(t *testing.T) {
	f := &fakeInstances{}
	if w := announce(f, valid); w.Code != http.StatusOK || len(f.forwarded) != 2 {
		t.Fatalf("got status %d, forwarded to %v, want 200 and two instances", w.Code, f.forwarded)
	}
	down := f.forwarded[0]
	w := announce(&fakeInstances{unreachable: down}, valid)
	if w.Code != http.StatusOK || strings.Contains(w.Body.String(), "caller-"+down) {
		t.Errorf("got status %d and, though %s is unreachable, answer %s; want 200 without its address", w.Code, down, w.Body)
	}
	w = announce(&fakeInstances{unreachable: "all"}, valid)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("got status %d with all instances unreachable, want 503 with Retry-After", w.Code)
	}
}

// TestOwnerRecordsAnnouncementLocally guards against an instance that forwards an
// announcement to itself. Of the two leases, the answer must hold the shorter one.
func TestOwnerRecordsAnnouncementLocally(t *testing.T) {
	f := &fakeInstances{}
	announce(f, valid)
	owner := &fakeInstances{self: f.forwarded[0]}
	w := announce(owner, valid)
	if owner.local != 1 || len(owner.forwarded) != 1 || owner.forwarded[0] == owner.self {
		t.Errorf("recorded %d times locally and forwarded to %v, want once and to the standby only", owner.local, owner.forwarded)
	}
	if !strings.Contains(w.Body.String(), `"LeaseMilliseconds":1000`) {
		t.Errorf("answer %s, want the shorter lease, 1000 milliseconds", w.Body)
	}
}

// TestInvalidAnnouncementsAreRejected guards against an invalid announcement that is
// forwarded. Each case makes one part of a valid announcement invalid.
func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	for _, c := range []struct{ old, new string }{
		{`"n"`, `""`},
		{`"n"`, `"` + strings.Repeat("n", 64) + `"`},
		{`"d"`, `""`},
		{`127.0.0.1:1`, `localhost:1`},
		{`127.0.0.1:1`, `127.0.0.1:0`},
		{`127.0.0.1:1`, `127.0.0.1`},
		{`"Slots":3`, `"Slots":0`},
		{`"Slots":3`, `"Slots":10001`},
		{`"Slots":3`, `"Slots":9223372036854775807`},
		{`"Slots":3`, `"Slots":1e30`},
		{`"Slots":3`, `"Slots":` + strings.Repeat("[", 2000) + strings.Repeat("]", 2000)},
		{`"Slots":3`, strings.Repeat("[", 1<<20)},
		{`127.0.0.1:1`, `127.0.0.1:65536`},
		{`127.0.0.1:1`, `127.0.0.1:-1`},
		{`"Slots":3`, `"Slots":3,"Other":1`},
		{`3}`, `3}{}`},
		{`3}`, `3`},
		{`"n"`, `"` + strings.Repeat("n", 1<<13) + `"`},
	} {
		f := &fakeInstances{}
		if w := announce(f, strings.Replace(valid, c.old, c.new, 1)); w.Code != http.StatusBadRequest || len(f.forwarded) > 0 {
			t.Errorf("%s for %s: got status %d, forwarded to %v, want 400 and no instance", c.new, c.old, w.Code, f.forwarded)
		}
	}
}
