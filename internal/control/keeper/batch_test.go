package keeper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// register registers the numbered backend server.
func (l *log) register(t *testing.T, i uint64) {
	n := server(1)
	n.Name, n.Address, n.Incarnation = string(rune('a'+i%26))+string(rune('a'+i/26)), string(rune('a'+i%26))+string(rune('a'+i/26))+":1", 5
	l.put(t, fleet.Command{Register: &n})
}

// TestFirstChangeIsSentAtOnce guards against news, such as a crash or a backend server that
// leaves, that waits for further changes though none came before it.
func TestFirstChangeIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		l.register(t, 0)
		w := peers.Watch{Wait: time.Second, Held: 1}
		changed := time.Now().Add(300 * time.Millisecond)
		time.AfterFunc(time.Until(changed), func() { l.register(t, 1) })
		update, err := k.Watch(t.Context(), w)
		if err != nil || update.Delta.Index != 2 {
			t.Fatalf("got index %d and error %v, want the change", update.Delta.Index, err)
		}
		if late := time.Since(changed); late > time.Millisecond {
			t.Errorf("the change was sent %v after it, want at once", late)
		}
	})
}

// TestFollowingChangesAreGathered guards against an answer for each of many changes that
// follow one another, and against changes that are held back for long.
func TestFollowingChangesAreGathered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const changes, interval, gathered = 200, 2 * time.Millisecond, 50 * time.Millisecond
		k, l := newKeeper()
		l.register(t, 0)
		go func() {
			for i := range uint64(changes) {
				time.Sleep(interval)
				l.register(t, 1+i)
			}
		}()
		w, answers, begun := peers.Watch{Wait: time.Second, Held: 1}, 0, time.Now()
		for w.Held <= changes {
			update, err := k.Watch(t.Context(), w)
			if err != nil {
				t.Fatal(err)
			}
			w.Held = update.Delta.Index
			answers++
			time.Sleep(time.Millisecond / 2) // on the way
		}
		if most := int(changes*interval/gathered) + 2; answers > most {
			t.Errorf("%d answers for %d changes, want %d at most", answers, changes, most)
		}
		if late := time.Since(begun) - changes*interval; late > 2*gathered {
			t.Errorf("the last change was sent %v after it, want %v at most", late, 2*gathered)
		}
	})
}

// TestQuarantineIsSentAtOnce guards against a request that crashes one more backend server
// since the news of its second crash waits for further changes.
func TestQuarantineIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		crash := func(name string) {
			l.put(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 1, Crashed: []poison.Server{{Name: name, Incarnation: 1}}}})
		}
		crash("a")
		changed := time.Now().Add(3 * time.Millisecond)
		time.AfterFunc(2*time.Millisecond, func() { l.register(t, 0) })
		time.AfterFunc(3*time.Millisecond, func() { crash("b") })
		update, err := k.Watch(t.Context(), peers.Watch{Wait: time.Second, Held: 1})
		if err != nil || len(update.Delta.Suspects) != 1 || len(update.Delta.Servers) != 1 {
			t.Fatalf("got %+v and error %v, want both changes", update, err)
		}
		if late := time.Since(changed); late > time.Millisecond {
			t.Errorf("the quarantine was sent %v after it, want at once", late)
		}
	})
}
