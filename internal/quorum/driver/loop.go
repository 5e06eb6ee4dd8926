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
	timer := time.NewTimer(0)
	defer timer.Stop()
	leave := l.leave
	for {
		var first []proposal
		select {
		case <-ctx.Done():
			return nil
		case <-leave:
			leave = nil
			l.replica.Leave(time.Now())
		case <-timer.C:
		case st := <-l.staged:
			if err := l.promote(st); err != nil {
				return err
			}
		case p := <-l.proposals:
			first = append(first, p)
		case d := <-l.inbox:
			l.step(d)
		}
		l.gather(first)
		l.replica.Tick(time.Now())
		l.logLostRound()
		if err := l.processReady(); err != nil {
			return err
		}
		l.answerCalls()
		l.reportLeft()
		timer.Reset(time.Until(l.replica.Due()))
	}
}

func (l *Log) step(d *delivery) {
	now := time.Now()
	for _, m := range d.messages {
		l.replica.Step(now, m)
	}
	if d.context != nil {
		l.openCalls = append(l.openCalls, d)
	}
}

// gather handles the queued deliveries and proposals, so that they share one save.
// batch holds the proposals received before.
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
		l.pending[index+uint64(i)] = pendingProposal{term: term, result: p.result}
	}
}

// processReady sends, saves and applies what the replica has ready, until there is
// nothing left.
func (l *Log) processReady() error {
	l.publish()
	for {
		rd := l.replica.Take()
		if rd.Empty() {
			break
		}
		l.send(rd.Before)
		if err := l.save(&rd); err != nil {
			return err
		}
		l.replica.Synced()
		l.send(rd.After)
		if err := l.apply(&rd); err != nil {
			return err
		}
	}
	l.publish()
	if !l.replica.Leads() {
		l.failPending()
	}
	l.startSnapshot()
	return nil
}

func (l *Log) save(rd *raft.Ready) error {
	if rd.Hard != nil {
		l.hard = *rd.Hard
	}
	l.Storage.SetCommit(rd.Commit)
	switch {
	case rd.Snapshot != nil:
		return l.Storage.Compact(l.hard, *rd.Snapshot, rd.Entries)
	case rd.Hard != nil || len(rd.Entries) > 0:
		return l.Storage.Save(rd.Hard, rd.Entries)
	default:
		return nil
	}
}

func (l *Log) send(messages []raft.Message) {
	for _, m := range messages {
		if d := l.openCall(m); d != nil {
			d.replies = append(d.replies, m)
			continue
		}
		l.queueOnLink(m)
	}
}

// openCall returns the open call whose answer can carry m, or nil if m is not a reply
// or its caller has stopped waiting.
func (l *Log) openCall(m raft.Message) *delivery {
	if !m.Kind.IsReply() {
		return nil
	}
	for _, d := range l.openCalls {
		if d.messages[0].From == m.To && d.context.Err() == nil {
			return d
		}
	}
	return nil
}

// queueOnLink queues m on the link to its receiver. In an open group it opens a link to
// a receiver that has none, whose name is its peer address.
func (l *Log) queueOnLink(m raft.Message) {
	k := l.links[m.ToName]
	if k == nil && l.MaxVoters > 0 && m.ToName != l.Name {
		k = l.openLink(snipefront.Instance{Name: m.ToName, PeerAddress: m.ToName})
	}
	if k != nil {
		k.enqueue(m)
	}
}

// answerCalls answers the open calls with the replies collected for them.
func (l *Log) answerCalls() {
	for _, d := range l.openCalls {
		d.answered <- struct{}{}
	}
	clear(l.openCalls)
	l.openCalls = l.openCalls[:0]
}

func (l *Log) apply(rd *raft.Ready) error {
	if s := rd.Snapshot; s != nil {
		if err := l.Machine.Restore(s.State); err != nil {
			return errors.Wrap(err, "restore received snapshot")
		}
		l.applied = s.Index
		l.snapshotIndex = s.Index
		l.compactedBytes = l.Storage.Bytes()
		l.stateBytes = int64(len(s.State))
		l.Logger.Info("restored log snapshot received from leader", "index", s.Index, "bytes", len(s.State))
	}
	for _, e := range rd.Committed {
		var result []byte
		switch e.Kind {
		case raft.Command:
			result = l.Machine.Apply(e.Index, e.Command)
		case raft.ConfigChange:
			l.Logger.Info("log membership changed", "index", e.Index, "members", e.Members)
		}
		l.applied = e.Index
		l.complete(e, result)
	}
	return nil
}

// complete sends the result of e to its proposer, if the proposal was made here. If e
// has another term, it has replaced the proposed entry, and the proposal fails.
func (l *Log) complete(e raft.Entry, result []byte) {
	p, ok := l.pending[e.Index]
	if !ok {
		return
	}
	delete(l.pending, e.Index)
	if p.term != e.Term {
		p.result <- outcome{err: errLeadershipLost}
		return
	}
	p.result <- outcome{result: result}
}

// failPending fails all pending proposals with errLeadershipLost.
func (l *Log) failPending() {
	for i, p := range l.pending {
		delete(l.pending, i)
		p.result <- outcome{err: errLeadershipLost}
	}
}

// publish updates what Leadership, Members and Unresponsive return. processReady calls
// it before it sends any vote that ends the leadership.
func (l *Log) publish() {
	next := view{leader: l.replica.Leader(), term: l.replica.Term()}
	if l.MaxVoters > 0 {
		next.members = strings.Join(l.replica.MemberNames(), memberSeparator)
		next.unresponsive = strings.Join(l.replica.UnresponsiveNames(time.Now()), memberSeparator)
	}
	if until, from, ok := l.replica.Lease(); ok && l.applied >= from {
		next.leaseEnd = until
	}
	old := l.view.Load()
	if old != nil && *old == next {
		return
	}
	l.view.Store(&next)
	l.logChange(old, next)
}

// logChange logs in what next differs from old, which is nil at first.
func (l *Log) logChange(old *view, next view) {
	if old == nil || old.leader != next.leader || old.term != next.term {
		q := l.replica.Quorum()
		l.Logger.Info("log leader or term changed", "leader", next.leader, "term", next.term, "voters", q.Voters, "needed", q.Needed)
	}
	if old != nil && old.unresponsive != next.unresponsive && l.replica.Leads() {
		q := l.replica.Quorum()
		l.Logger.Info("unresponsive log members changed", "unresponsive", splitNames(next.unresponsive), "voters", q.Voters, "needed", q.Needed)
	}
}

// logLostRound logs the last pre-vote or election of this replica that too few have granted.
func (l *Log) logLostRound() {
	if q := l.replica.TakeLostRound(); q != nil {
		l.Logger.Info("log election without quorum", "term", l.replica.Term(), "granted", q.Granted, "voters", q.Voters, "needed", q.Needed)
	}
}
