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
)

const (
	announcePath      = "/.well-known/snipefront/announce"
	announceTimeout   = 500 * time.Millisecond
	announceBackoff   = 50 * time.Millisecond
	announceRetry     = 500 * time.Millisecond
	shortestRenewal   = 20 * time.Millisecond
	renewalsPerLease  = 3
	mostAnswerBytes   = 1 << 16
	mostKeptInstances = 64
)

// announcer keeps the announcement of a Server in force.
type announcer struct {
	server  *Server
	address string
	client  *http.Client
	// instances are those that the last answer named, the best one first.
	instances []string
}

// startAnnouncing announces until ctx ends. The returned channel is closed at
// the end.
func (s *Server) startAnnouncing(ctx context.Context, address string) <-chan struct{} {
	done := make(chan struct{})
	if len(s.Seeds) == 0 {
		close(done)
		return done
	}
	a := &announcer{
		server:  s,
		address: address,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxIdleConns: 2}},
	}
	go func() {
		defer close(done)
		defer a.client.CloseIdleConnections()
		a.run(ctx)
	}()
	return done
}

// announceSoon renews the announcement without waiting for its time.
func (s *Server) announceSoon() {
	select {
	case s.announce <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		a.server.awaitThaw(ctx.Done())
		t := time.NewTimer(a.round(ctx))
		select {
		case <-t.C:
		case <-a.server.announce:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// round announces to one instance and returns the time until the next round.
func (a *announcer) round(ctx context.Context) time.Duration {
	for _, i := range a.targets() {
		lease, err := a.send(ctx, i)
		if err == nil {
			return max(lease/renewalsPerLease, shortestRenewal)
		}
		if ctx.Err() != nil {
			return 0
		}
		a.server.Log.Warn("announcement failed", "name", a.server.Name, "instance", i, "error", err.Error())
		timer.Sleep(ctx, announceBackoff)
	}
	return announceRetry
}

// targets returns the instances of the last answer and then the other seeds.
func (a *announcer) targets() []string {
	all := slices.Clone(a.instances)
	for _, s := range a.server.Seeds {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// send announces to one instance and returns the lease that it grants.
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
	b, err := io.ReadAll(io.LimitReader(w.Body, mostAnswerBytes))
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
	a.instances = granted.Instances[:min(len(granted.Instances), mostKeptInstances)]
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
