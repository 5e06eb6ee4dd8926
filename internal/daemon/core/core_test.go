package core_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
	"github.com/snipefront/snipefront/internal/daemon/core"
	"github.com/snipefront/snipefront/internal/quorum/disk"
)

// awaitTimeout bounds a wait for a condition. Only a test that hangs reaches it.
const awaitTimeout = 30 * time.Second

// fullTime is how long a disk is full.
const fullTime = 500 * time.Millisecond

var errNoSpace = errors.New("no space left on device")

// fullDisk is a disk that takes no bytes while full is set.
type fullDisk struct{ full atomic.Bool }

// create implements disk.Folder.Create.
func (d *fullDisk) create(path string) (disk.File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	return &fullFile{File: file, disk: d}, err
}

// fullFile is a file on a fullDisk.
type fullFile struct {
	*os.File
	disk *fullDisk
}

// Write implements disk.File.
func (f *fullFile) Write(b []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, errNoSpace
	}
	return f.File.Write(b)
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

// TestProcessEndsAfterItsDiskWasFull guards against a control instance that stays without
// its replica of the log once its disk has refused a write, though the disk works again:
// each such fault would leave the control quorum one replica less. The process must end,
// though not while the next one couldn't write either, and that must have what was accepted.
func TestProcessEndsAfterItsDiskWasFull(t *testing.T) {
	keepers, d := make(chan *keeper.Keeper, 1), &fullDisk{}
	s := settings(t, filepath.Join(t.TempDir(), "data"), keepers)
	app := fx.New(core.Options(s, slog.New(slog.DiscardHandler)), fx.Decorate(func(f *disk.Folder) *disk.Folder {
		f.Create = d.create
		return f
	}))
	ended := app.Wait()
	if err := app.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	k := <-keepers
	configure(t, k, 7)
	d.full.Store(true)
	if refused, err := fleet.NewDocument(8, []byte("8")); err != nil || k.Configure(t.Context(), refused) == nil {
		t.Error("a change is accepted that the disk has refused, or can't be encoded:", err)
	}
	select {
	case <-ended:
		t.Error("the process ends while its disk is full")
	case <-time.After(fullTime):
	}
	d.full.Store(false)
	select {
	case signal := <-ended:
		if signal.ExitCode == 0 {
			t.Error("the process ends with status 0, want a failure")
		}
	case <-time.After(awaitTimeout):
		t.Error("the process doesn't end once its disk works again")
	}
	if err := app.Stop(context.Background()); err != nil {
		t.Log("stop:", err)
	}
	s.JoinOnly = true
	checkConfiguration(t, s, keepers, 7)
}

// checkConfiguration starts a control instance and checks that it returns the configuration
// of the given version.
func checkConfiguration(t *testing.T, s core.Settings, keepers <-chan *keeper.Keeper, version uint64) {
	t.Helper()
	app := fx.New(core.Options(s, slog.New(slog.DiscardHandler)))
	if err := app.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := app.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	k := <-keepers
	for begun := time.Now(); time.Since(begun) < awaitTimeout; time.Sleep(10 * time.Millisecond) {
		if d, err := k.Configuration(t.Context()); err == nil {
			if d.Version != version {
				t.Errorf("the next process returns version %d, want %d", d.Version, version)
			}
			return
		}
	}
	t.Error("the next process returns no configuration")
}
