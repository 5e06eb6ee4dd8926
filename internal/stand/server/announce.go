package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/rpc/heads"
)

const (
	announcePath       = "/.well-known/snipefront/announce"
	announceTimeout    = 500 * time.Millisecond
	nextInstanceDelay  = 50 * time.Millisecond
	announceRetryDelay = 500 * time.Millisecond
	minRenewalInterval = 20 * time.Millisecond
	renewalsPerLease   = 3
	maxAnswerBytes     = 1 << 16
	maxInstances       = 64
)

// announcer announces a Server to the instances and renews the lease.
type announcer struct {
	server  *Server
	address string
	client  *http.Client
	// instances holds the host:port of the instances that the last answer listed, the
	// best one first.
	instances []string
}

// startAnnouncing announces until ctx ends. It returns a channel that is closed
// after the last announcement.
func (s *Server) startAnnouncing(ctx context.Context, address string) <-chan struct{} {
	done := make(chan struct{})
	if len(s.Seeds) == 0 {
		close(done)
		return done
	}
	a := &announcer{
		server:  s,
		address: address,
		client:  &http.Client{Transport: heads.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 1, MaxIdleConns: 2}}},
	}
	go func() {
		defer close(done)
		defer a.client.CloseIdleConnections()
		a.run(ctx)
	}()
	return done
}

// announceSoon renews the announcement without waiting for the next renewal time.
func (s *Server) announceSoon() {
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		a.server.awaitUnfrozen(ctx.Done())
		t := time.NewTimer(a.round(ctx))
		select {
		case <-t.C:
		case <-a.server.announceNow:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// round tries the instances until one accepts the announcement. It returns the time
// until the next round.
func (a *announcer) round(ctx context.Context) time.Duration {
	for _, instance := range a.candidates() {
		lease, err := a.send(ctx, instance)
		if err == nil {
			return max(lease/renewalsPerLease, minRenewalInterval)
		}
		if ctx.Err() != nil {
			return 0
		}
		a.server.Log.Warn("announcement to an instance failed; retrying", "name", a.server.Name, "instance", instance, "error", err.Error())
		timer.Sleep(ctx, nextInstanceDelay)
	}
	return announceRetryDelay
}

// candidates returns the instances that the last answer listed, followed by the seeds
// that it did not list.
func (a *announcer) candidates() []string {
	all := slices.Clone(a.instances)
	for _, s := range a.server.Seeds {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// send announces to one instance and returns the duration of the lease that it grants.
func (a *announcer) send(ctx context.Context, instance string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(a.announcement())
	if err != nil {
		return 0, errors.Wrap(err, "encode announcement")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance+announcePath, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := a.client.Do(r)
	if err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	if w.StatusCode/100 != 2 {
		return 0, errors.Errorf("announce: status %d: %.200s", w.StatusCode, b)
	}
	var granted struct {
		LeaseMilliseconds int64
		Instances         []string
	}
	if err := json.Unmarshal(b, &granted); err != nil {
		return 0, errors.Wrap(err, "decode answer")
	}
	a.instances = granted.Instances[:min(len(granted.Instances), maxInstances)]
	return time.Duration(granted.LeaseMilliseconds) * time.Millisecond, nil
}

func (a *announcer) announcement() any {
	s := a.server
	return struct {
		Name, Service, DataCentre, Address string
		Incarnation                        uint64
		Slots                              int
		Draining                           bool
	}{s.Name, s.Service, s.DataCentre, a.address, s.Incarnation, s.Slots, s.currentMode().Draining || s.stopping.Load()}
}
