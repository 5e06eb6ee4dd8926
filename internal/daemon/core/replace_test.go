package core_test

import (
	"context"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/fx"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
	"github.com/snipefront/snipefront/internal/daemon/core"
	"github.com/snipefront/snipefront/internal/quorum/disk"
)

// catchUp is the time after its start from which on an instance stands in for another one.
const catchUp = 4 * time.Second

// instance is a control instance whose disk can be filled.
type instance struct {
	*fx.App
	*keeper.Keeper
	disk *fullDisk
}

// startInstance starts the control instance with the peer address self.
func startInstance(t *testing.T, self string, seeds []string, joinOnly bool) *instance {
	t.Helper()
	n := &instance{disk: &fullDisk{}}
	keepers := make(chan *keeper.Keeper, 1)
	s := core.Settings{
		Seeds: seeds, JoinOnly: joinOnly, Tolerance: 1, DataFolder: filepath.Join(t.TempDir(), "data"), MetricsAddress: freeAddress(t),
		Interfaces: map[string]func(k *keeper.Keeper) http.Handler{freeAddress(t): func(k *keeper.Keeper) http.Handler {
			keepers <- k
			return http.NotFoundHandler()
		}},
		Self: fleet.Instance{Control: true},
	}
	s.Self.Name, s.Self.PeerAddress, s.Self.CallerAddress, s.Self.DataCentre = self, self, freeAddress(t), "dc1"
	n.App = fx.New(core.Options(s, slog.New(slog.DiscardHandler)), fx.Decorate(func(f *disk.Folder) *disk.Folder {
		f.Create = n.disk.create
		return f
	}))
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	n.Keeper = <-keepers
	return n
}

// stop stops the instance as planned.
func (n *instance) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		t.Log("stop:", err)
	}
}

// TestReplacedInstanceStopsCounting guards against a control quorum that ends with the next loss
// after a planned replacement in a group of three: the instance that was stopped goes on counting,
// so that all three that run are needed. A disk that takes no writes stands for the loss.
func TestReplacedInstanceStopsCounting(t *testing.T) {
	seeds := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	var instances []*instance
	for _, self := range seeds {
		instances = append(instances, startInstance(t, self, seeds, false))
	}
	configure(t, instances[0].Keeper, 7)
	next := startInstance(t, freeAddress(t), seeds, true)
	time.Sleep(catchUp)
	instances[0].stop(t)
	instances[1].disk.full.Store(true)
	begun := time.Now()
	configure(t, instances[2].Keeper, 8)
	t.Log("the next configuration is accepted after", time.Since(begun))
	configure(t, next.Keeper, 9)
	for _, n := range []*instance{instances[1], instances[2], next} {
		n.disk.full.Store(false)
		n.stop(t)
	}
}
