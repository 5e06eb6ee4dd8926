package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// settleTime is the time after a replacement, longer than catchUpS and connectivityWindowS.
	settleTime = 12 * time.Second
	// replaceDelay is the time until the empty machine comes, the x of replace_core.
	replaceDelay = 2 * time.Second
	// readTime is the time for which the operator asks for the configuration at the end, longer
	// than connectivityWindowS and recoveryS.
	readTime = 30 * time.Second
)

// replaceCore loses a core machine for good. An empty one comes at another address.
func (d *deployment) replaceCore(i int, name string) error {
	old := d.cores[i]
	d.rec.line("core machine %s is gone for good", old.name)
	for _, role := range old.roles {
		d.signal(old, role, syscall.SIGKILL)
	}
	time.Sleep(replaceDelay)
	next := &machine{name: name, ip: d.newIP(), zone: old.zone, class: "core", roles: old.roles}
	d.cores[i] = next
	for _, role := range next.roles {
		if err := d.start(next, role, false); err != nil {
			return err
		}
	}
	return nil
}

// playReplaced replaces two of three core machines, the second one long after the first, and
// reads the configuration back.
func playReplaced(d *deployment, trouble bool) (verdict, error) {
	if err := d.begin("safe", nil); err != nil {
		return verdict{}, err
	}
	for i, name := range []string{"core-katutura-2", "core-klein-windhoek-2"} {
		if trouble {
			if err := d.replaceCore(i, name); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(settleTime)
		if i > 0 {
			continue
		}
		if err := d.order(http.MethodPost, "/v1/configuration/replace", configuration(9, "safe"), 10*time.Second); err != nil {
			return verdict{}, fmt.Errorf("after the first replacement: %w", err)
		}
	}
	if d.readConfiguration(readTime) {
		return verdict{text: "the configuration was read back"}, nil
	}
	return verdict{broken: true, text: fmt.Sprintf("the configuration did not come for %v", readTime)}, nil
}

// readConfiguration asks all control machines for the configuration until it comes.
func (d *deployment) readConfiguration(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, m := range d.cores {
			status, text, err := call(http.MethodGet, "http://"+address(m.ip, portControl)+"/v1/configuration/read", "")
			d.rec.line("operator reads at %s: %d %v %.60s", m.name, status, err, strings.TrimSpace(text))
			if err == nil && status == http.StatusOK {
				return true
			}
		}
	}
	return false
}
