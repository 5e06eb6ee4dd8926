package driver

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// loop drives the replica until ctx ends or the storage fails.
func (l *Log) loop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		var first []proposal
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case d := <-l.drafted:
			if err := l.adopt(d); err != nil {
				return err
			}
		case p := <-l.proposals:
			first = append(first, p)
		case d := <-l.inbox:
			l.step(d)
		}
		l.gather(first)
		l.replica.Tick(time.Now())
		if err := l.settle(); err != nil {
			return err
		}
		l.reply()
		t.Reset(time.Until(l.replica.Due()))
	}
}

func (l *Log) step(d *delivery) {
	now := time.Now()
	for _, m := range d.messages {
		l.replica.Step(now, m)
	}
	if d.context != nil {
		l.calls = append(l.calls, d)
	}
}

// gather takes in what waits, so that it shares one save.
func (l *Log) gather(batch []proposal) {
	for range maxBatch {
		select {
		case p := <-l.proposals:
			batch = append(batch, p)
			continue
		case d := <-l.inbox:
			l.step(d)
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		l.propose(batch)
	}
}

func (l *Log) propose(batch []proposal) {
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	index, term, ok := l.replica.Propose(commands)
	for i, p := range batch {
		if !ok {
			p.result <- outcome{err: snipefront.ErrNotLeader}
			continue
		}
		l.waiting[index+uint64(i)] = waiter{term: term, result: p.result}
	}
}

// settle does all that the replica wants done.
func (l *Log) settle() error {
	l.publish()
	for {
		d := l.replica.Take()
		if d.Empty() {
			break
		}
		l.send(d.Before)
		if err := l.save(&d); err != nil {
			return err
		}
		l.replica.Synced()
		l.send(d.After)
		if err := l.apply(&d); err != nil {
			return err
		}
	}
	l.publish()
	if !l.replica.Leads() {
		l.abandon()
	}
	l.draft()
	return nil
}

func (l *Log) save(d *raft.Ready) error {
	if d.Hard != nil {
		l.hard = *d.Hard
	}
	switch {
	case d.Snapshot != nil:
		return l.Storage.Compact(l.hard, *d.Snapshot, d.Entries)
	case d.Hard != nil || len(d.Entries) > 0:
		return l.Storage.Save(d.Hard, d.Entries)
	default:
		return nil
	}
}

func (l *Log) send(messages []raft.Message) {
	for _, m := range messages {
		if d := l.call(m); d != nil {
			d.replies = append(d.replies, m)
			continue
		}
		l.post(m)
	}
}

// call returns the open call whose answer can carry m, or nil where m is no reply
// or its caller has given up.
func (l *Log) call(m raft.Message) *delivery {
	if !m.Kind.Reply() {
		return nil
	}
	for _, d := range l.calls {
		if d.messages[0].From == m.To && d.context.Err() == nil {
			return d
		}
	}
	return nil
}

func (l *Log) post(m raft.Message) {
	k := l.links[m.ToName]
	if k == nil && l.MaxVoters > 0 && m.ToName != l.Name {
		k = l.connect(snipefront.Instance{Name: m.ToName, PeerAddress: m.ToName})
	}
	if k != nil {
		k.put(m)
	}
}

// reply answers the open calls.
func (l *Log) reply() {
	for _, d := range l.calls {
		d.answered <- struct{}{}
	}
	clear(l.calls)
	l.calls = l.calls[:0]
}

func (l *Log) apply(d *raft.Ready) error {
	if s := d.Snapshot; s != nil {
		if err := l.Machine.Restore(s.State); err != nil {
			return errors.Wrap(err, "restore received snapshot")
		}
		l.applied = s.Index
		l.snapped = s.Index
		l.base = l.Storage.Bytes()
		l.size = int64(len(s.State))
		l.Logger.Info("snapshot received", "index", s.Index, "bytes", len(s.State))
	}
	for _, e := range d.Committed {
		var result []byte
		switch e.Kind {
		case raft.Command:
			result = l.Machine.Apply(e.Index, e.Command)
		case raft.Change:
			l.Logger.Info("log membership changed", "index", e.Index, "members", e.Members)
		}
		l.applied = e.Index
		l.answer(e, result)
	}
	return nil
}

// answer tells the proposer of e its result, where it is waiting here.
func (l *Log) answer(e raft.Entry, result []byte) {
	w, ok := l.waiting[e.Index]
	if !ok {
		return
	}
	delete(l.waiting, e.Index)
	if w.term != e.Term {
		w.result <- outcome{err: errLost}
		return
	}
	w.result <- outcome{result: result}
}

// abandon tells the proposers that wait that this replica no longer leads.
func (l *Log) abandon() {
	for i, w := range l.waiting {
		delete(l.waiting, i)
		w.result <- outcome{err: errLost}
	}
}

// publish makes the leadership known, before any vote that ends it is sent.
func (l *Log) publish() {
	next := view{leader: l.replica.Leader(), term: l.replica.Term()}
	if l.MaxVoters > 0 {
		next.members = strings.Join(l.replica.MemberNames(), memberSeparator)
		next.silent = strings.Join(l.replica.SilentNames(time.Now()), memberSeparator)
	}
	if until, from, ok := l.replica.Lease(); ok && l.applied >= from {
		next.until = until
	}
	old := l.view.Load()
	if old != nil && *old == next {
		return
	}
	l.view.Store(&next)
	if old == nil || old.leader != next.leader || old.term != next.term {
		l.Logger.Info("leader seen", "leader", next.leader, "term", next.term)
	}
}
