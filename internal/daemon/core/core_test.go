package core_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
	"github.com/snipefront/snipefront/internal/daemon/core"
	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/driver"
	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// awaitTimeout bounds a wait for a condition. Only a test that hangs reaches it.
const awaitTimeout = 30 * time.Second

var errNoSpace = errors.New("no space left on device")

// fullDisk is the storage of a replica whose disk takes no more bytes once full is closed.
type fullDisk struct {
	driver.Storage
	full <-chan struct{}
}

// Save implements driver.Storage.
func (d *fullDisk) Save(h *raft.HardState, entries []raft.Entry) error {
	select {
	case <-d.full:
		return errNoSpace
	default:
		return d.Storage.Save(h, entries)
	}
}

// freeAddress returns an address of loopback that is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// settings returns the settings of the only control instance of a fleet.
func settings(t *testing.T, folder string, keepers chan<- *keeper.Keeper) core.Settings {
	peer, control := freeAddress(t), freeAddress(t)
	s := core.Settings{
		Seeds: []string{peer}, DataFolder: folder, MetricsAddress: freeAddress(t),
		Interfaces: map[string]func(k *keeper.Keeper) http.Handler{control: func(k *keeper.Keeper) http.Handler {
			keepers <- k
			return http.NotFoundHandler()
		}},
	}
	s.Self = fleet.Instance{Control: true}
	s.Self.Name, s.Self.PeerAddress, s.Self.CallerAddress, s.Self.DataCentre = peer, peer, control, "dc1"
	return s
}

// configure sends configurations until one of the given version is accepted.
func configure(t *testing.T, k *keeper.Keeper, version uint64) {
	t.Helper()
	d, err := fleet.NewDocument(version, fmt.Append(nil, version))
	if err != nil {
		t.Fatal(err)
	}
	for begun := time.Now(); k.Configure(t.Context(), d) != nil; {
		if time.Since(begun) > awaitTimeout {
			t.Fatalf("version %d is not accepted", version)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestProcessEndsWhenItsDiskIsFull guards against a control instance that stays without its
// replica of the log once its disk has refused a write, though the disk works again: each
// such fault would leave the control quorum one replica less. The process must end, and
// the next one must have what was accepted.
func TestProcessEndsWhenItsDiskIsFull(t *testing.T) {
	keepers, full := make(chan *keeper.Keeper, 1), make(chan struct{})
	s := settings(t, filepath.Join(t.TempDir(), "data"), keepers)
	app := fx.New(core.Options(s, slog.New(slog.DiscardHandler)), fx.Decorate(func(l *driver.Log) *driver.Log {
		l.Storage = &fullDisk{Storage: l.Storage, full: full}
		return l
	}))
	ended := app.Wait()
	if err := app.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	k := <-keepers
	configure(t, k, 7)
	close(full)
	d, err := fleet.NewDocument(8, []byte("8"))
	if err != nil {
		t.Fatal(err)
	}
	if k.Configure(t.Context(), d) == nil {
		t.Error("a change is accepted that the disk has refused")
	}
	select {
	case signal := <-ended:
		if signal.ExitCode == 0 {
			t.Error("the process ends with status 0, want a failure")
		}
	case <-time.After(awaitTimeout):
		t.Error("the process doesn't end")
	}
	if err := app.Stop(context.Background()); err != nil {
		t.Log("stop:", err)
	}
	saved, err := (&disk.Folder{Path: s.DataFolder}).Open()
	if err != nil {
		t.Fatal(err)
	}
	if len(saved.Entries)+int(saved.Snapshot.Index) == 0 {
		t.Error("the next process has nothing of what was accepted")
	}
}
