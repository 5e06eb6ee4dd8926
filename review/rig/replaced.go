package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// settleTime is the time after each step, longer than catchUpS and connectivityWindowS.
	settleTime = 12 * time.Second
	// replaceLead is the time for which the new machine runs beside the old one.
	replaceLead = 6 * time.Second
	// wipeDown is the time for which a machine that loses its disk is down, the for_s of
	// after_ack_wipe.
	wipeDown = 3 * time.Second
	// readTime is the time for which the operator asks for the configuration at the end, longer
	// than connectivityWindowS and recoveryS.
	readTime = 30 * time.Second
)

// replaceCore replaces a core machine as planned: an empty one is added at another address, and
// the old one gets SIGTERM and is gone for good.
func (d *deployment) replaceCore(i int, name string) error {
	old := d.cores[i]
	next := &machine{name: name, ip: d.newIP(), zone: old.zone, class: "core", roles: old.roles}
	if err := d.startMachine(next); err != nil {
		return err
	}
	time.Sleep(replaceLead)
	for _, role := range old.roles {
		d.signal(old, role, syscall.SIGTERM)
	}
	for _, role := range old.roles {
		<-d.running[old.name+"/"+role].ended
		delete(d.running, old.name+"/"+role)
	}
	d.cores[i] = next
	return nil
}

// wipe has m lose its power and its disk. It comes back at its address.
func (d *deployment) wipe(m *machine) error {
	d.rec.line("core machine %s loses its disk", m.name)
	for _, role := range m.roles {
		d.signal(m, role, syscall.SIGKILL)
		<-d.running[m.name+"/"+role].ended
	}
	if err := os.RemoveAll(d.dataFolder(m)); err != nil {
		return err
	}
	time.Sleep(wipeDown)
	return d.startMachine(m)
}

// startMachine starts all processes of m, which is not one of the first start.
func (d *deployment) startMachine(m *machine) error {
	for _, role := range m.roles {
		if err := d.start(m, role, false); err != nil {
			return err
		}
	}
	return nil
}

// playReplaced replaces one of three core machines as planned. Long after that, another one
// acknowledges a configuration and loses its disk. The operator reads the configuration back.
func playReplaced(d *deployment, trouble bool) (verdict, error) {
	if err := d.begin(); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	if err := d.replaceCore(0, "core-katutura-2"); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	m := d.cores[1]
	if !d.orderAt(m, http.MethodPost, "/v1/configuration/replace", configuration(9)) {
		return verdict{}, fmt.Errorf("%s didn't acknowledge the configuration after the replacement", m.name)
	}
	if trouble {
		if err := d.wipe(m); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(settleTime)
	if d.readConfiguration(readTime) {
		return verdict{text: "the configuration was read back"}, nil
	}
	return verdict{broken: true, text: fmt.Sprintf("the configuration that was acknowledged did not come for %v", readTime)}, nil
}

// readConfiguration asks all control machines for the configuration until version 9 comes.
func (d *deployment) readConfiguration(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, m := range d.cores {
			status, text, err := call(http.MethodGet, "http://"+address(m.ip, portControl)+"/v1/configuration/read", "")
			d.rec.line("operator reads at %s: %d %v %.60s", m.name, status, err, strings.TrimSpace(text))
			if err == nil && status == http.StatusOK && strings.Contains(text, `"version":"r9"`) {
				return true
			}
		}
	}
	return false
}
