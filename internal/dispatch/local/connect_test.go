package local_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
)

// refusingAddress returns an address that refuses connections until the test ends. It is in
// use, so that no other process gets it meanwhile, as it may get that of a closed listener.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port)
}

// TestUnreachableBackendServersCostNoRetryBudget guards against refusals because failures
// to connect spend the retry budget. Two of three backend servers refuse connections, and
// the service has no retry budget. Every request must still reach the third one, and no
// limit may change.
func TestUnreachableBackendServersCostNoRetryBudget(t *testing.T) {
	d, _ := newDispatcher(t, answer, answer, answer)
	for _, name := range []string{"0", "1"} {
		d.Cell.Announce(time.Now(), snipefront.BackendServer{Name: name, Address: refusingAddress(t), Incarnation: 2, Slots: 3, Expires: time.Now().Add(time.Hour)})
	}
	d.Cell.SetRules(time.Now(), cell.Rules{ColdLimit: 1})
	none := snipefront.Service{}
	for range 50 {
		if _, err := d.Run(t.Context(), request(http.MethodPost, "/1", 1), none, true); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range d.Cell.Load(time.Now()).Servers {
		if s.Limit != 3 {
			t.Errorf("backend server %s has the limit %d, want 3: a failure to connect must not change it", s.Announced.Name, s.Limit)
		}
	}
}
