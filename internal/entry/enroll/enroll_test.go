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

// passer records the announcements that are passed on. Those to the address
// down fail.
type passer struct {
	down string
	// self is the instance that is asked, or none of those that know the cell.
	self string

	mu   sync.Mutex
	seen []string
	own  int
}

func (p *passer) Announce(_ context.Context, address string, _ snipefront.BackendServer) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, address)
	if address == p.down || p.down == "all" {
		return 0, errors.New("unreachable")
	}
	return time.Second, nil
}

// Announced implements enroll.Local.
func (p *passer) Announced(snipefront.BackendServer) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own++
	return time.Minute
}

func announce(p *passer, body string) *httptest.ResponseRecorder {
	v := &member.View{Epoch: snipefront.Epoch{Number: 1, Instances: []snipefront.Instance{
		{Name: "a", DataCentre: "d", CallerAddress: "caller-a", PeerAddress: "a"},
		{Name: "b", DataCentre: "d", CallerAddress: "caller-b", PeerAddress: "b"},
		{Name: "c", DataCentre: "d", CallerAddress: "caller-c", PeerAddress: "c"},
	}}}
	h := &enroll.Handler{Self: p.self, View: func() *member.View { return v }, Local: p, Passer: p}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
	return w
}

const good = `{"Name":"n","Service":"s","DataCentre":"d","Address":"127.0.0.1:1","Incarnation":1,"Slots":3}`

// TestAnnouncementReachesOwnerAndStandby names only those that took it in.
func TestAnnouncementReachesOwnerAndStandby(t *testing.T) {
	p := &passer{}
	if w := announce(p, good); w.Code != http.StatusOK || len(p.seen) != 2 {
		t.Fatalf("status %d, passed on to %v", w.Code, p.seen)
	}
	down := p.seen[0]
	w := announce(&passer{down: down}, good)
	if w.Code != http.StatusOK || strings.Contains(w.Body.String(), "caller-"+down) {
		t.Errorf("status %d without %s: %s", w.Code, down, w.Body)
	}
	w = announce(&passer{down: "all"}, good)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d with none reached", w.Code)
	}
}

// TestOwnAnnouncementStaysHere passes nothing on to the instance itself, and
// answers with the shorter of the two leases.
func TestOwnAnnouncementStaysHere(t *testing.T) {
	p := &passer{}
	announce(p, good)
	own := &passer{self: p.seen[0]}
	w := announce(own, good)
	if own.own != 1 || len(own.seen) != 1 || own.seen[0] == own.self {
		t.Errorf("taken in %d times here and passed on to %v", own.own, own.seen)
	}
	if !strings.Contains(w.Body.String(), `"LeaseMilliseconds":1000`) {
		t.Errorf("answer %s, want the shorter lease", w.Body)
	}
}

// TestBadAnnouncementsAreRefused changes one thing at a time.
func TestBadAnnouncementsAreRefused(t *testing.T) {
	for _, c := range []struct{ old, new string }{
		{`"n"`, `""`},
		{`"n"`, `"` + strings.Repeat("n", 64) + `"`},
		{`"d"`, `""`},
		{`127.0.0.1:1`, `localhost:1`},
		{`127.0.0.1:1`, `127.0.0.1:0`},
		{`127.0.0.1:1`, `127.0.0.1`},
		{`"Slots":3`, `"Slots":0`},
		{`"Slots":3`, `"Slots":10001`},
		{`"Slots":3`, `"Slots":3,"Other":1`},
		{`3}`, `3}{}`},
		{`3}`, `3`},
		{`"n"`, `"` + strings.Repeat("n", 1<<13) + `"`},
	} {
		p := &passer{}
		if w := announce(p, strings.Replace(good, c.old, c.new, 1)); w.Code != http.StatusBadRequest || len(p.seen) > 0 {
			t.Errorf("%s for %s: status %d, passed on to %v", c.new, c.old, w.Code, p.seen)
		}
	}
}
