package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// endTime is how long processes have after SIGTERM before they are killed.
const endTime = 7 * time.Second

// machine is a machine of the deployment, with a loopback address of its own.
type machine struct {
	name, zone, ip string
	// hasDisk is true for a machine of the class core.
	hasDisk bool
	// processes run on it, one for each role.
	processes []*exec.Cmd
}

// ports are the same on all machines.
type ports struct{ frontend, ready, control, directory, internal int }

// deployment is a small deployment: five control machines in three zones, two of them in the first,
// and two entry machines in the first zone and one in the second.
type deployment struct {
	program, folder string
	rec             *record
	ports           ports
	cores, edges    []*machine
	target          *target
}

func newDeployment(program, folder string, rec *record) *deployment {
	d := &deployment{program: program, folder: folder, rec: rec}
	for i, zone := range []string{"a", "a", "b", "b", "c"} {
		d.cores = append(d.cores, &machine{name: fmt.Sprintf("core-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.83.1.%d", i+1), hasDisk: true})
	}
	for i, zone := range []string{"a", "a", "b"} {
		d.edges = append(d.edges, &machine{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.83.2.%d", i+1)})
	}
	return d
}

// start starts all processes, the first configuration and the backend server, and waits until
// each entry instance runs requests.
func (d *deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setUpTime)
	defer cancel()
	if err := d.choosePorts(ctx); err != nil {
		return err
	}
	located := map[string]bool{}
	for _, m := range d.cores {
		roles := []string{"core"}
		if !located[m.zone] {
			located[m.zone] = true
			roles = append(roles, "locate")
		}
		if err := d.startMachine(ctx, m, roles); err != nil {
			return err
		}
	}
	for _, m := range d.edges {
		if err := d.startMachine(ctx, m, []string{"edge"}); err != nil {
			return err
		}
	}
	if _, ok := d.configure(ctx, 1, d.cores); !ok {
		return errors.New("the first configuration was not acknowledged")
	}
	d.target = newTarget(d)
	if err := d.target.start(ctx); err != nil {
		return err
	}
	for _, e := range d.edges {
		for d.ask(ctx, e, oldPrefix) != statusOK {
			if ctx.Err() != nil {
				return fmt.Errorf("%s runs no request", e.name)
			}
			pause(ctx, askInterval)
		}
	}
	pause(ctx, 2*touchTime) // the members of the control quorum settle
	return ctx.Err()
}

// choosePorts finds ports that are free at the first machine.
func (d *deployment) choosePorts(ctx context.Context) error {
	for _, p := range []*int{&d.ports.frontend, &d.ports.ready, &d.ports.control, &d.ports.directory, &d.ports.internal} {
		var c net.ListenConfig
		l, err := c.Listen(ctx, "tcp", d.cores[0].ip+":0")
		if err != nil {
			return err
		}
		defer l.Close()
		*p = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// startMachine starts the processes of m, which outlive ctx.
func (d *deployment) startMachine(ctx context.Context, m *machine, roles []string) error {
	for _, role := range roles {
		settings := filepath.Join(d.folder, m.name+"."+role)
		if err := os.WriteFile(settings, []byte(d.settings(m, role)), 0o600); err != nil {
			return err
		}
		out, err := os.Create(settings + ".log")
		if err != nil {
			return err
		}
		cmd := exec.CommandContext(context.WithoutCancel(ctx), d.program, role)
		cmd.Env = []string{"SNIPEFRONT_BOOT=" + settings, "PATH=" + os.Getenv("PATH")}
		cmd.Stdout, cmd.Stderr = out, out
		err = cmd.Start()
		out.Close()
		if err != nil {
			return err
		}
		m.processes = append(m.processes, cmd)
		d.rec.printf("started %s on %s, process %d", role, m.name, cmd.Process.Pid)
	}
	return nil
}

// settings returns the settings file of a role on m.
func (d *deployment) settings(m *machine, role string) string {
	var b strings.Builder
	add := func(key, value string) { fmt.Fprintf(&b, "%s=%s\n", key, value) }
	add("nodeName", m.name)
	add("role", role)
	add("ipAddress", m.ip)
	add("zone", m.zone)
	add("region", "r")
	for _, z := range []string{"a", "b", "c"} {
		add("zones."+z, "r")
	}
	switch role {
	case "core":
		add("listenAddresses.control", d.controlOf(m))
		add("dataDirectory", filepath.Join(d.folder, m.name))
	case "locate":
		add("listenAddresses.directory", fmt.Sprintf("%s:%d", m.ip, d.ports.directory))
	case "edge":
		add("listenAddresses.frontend", d.frontendOf(m))
		add("listenAddresses.ready", fmt.Sprintf("%s:%d", m.ip, d.ports.ready))
	}
	add("internalPortRange", fmt.Sprintf("%d,%d", d.ports.internal, d.ports.internal))
	add("seedNodes", strings.Join([]string{d.controlOf(d.cores[0]), d.controlOf(d.cores[2]), d.controlOf(d.cores[4])}, ","))
	add("bootstrap", "true")
	add("lossCounts", fmt.Sprint(m.hasDisk))
	add("limits.memoryMb", "284")
	add("limits.linkMbps", "1000.0")
	add("heartbeatIntervalS", "1.5")
	add("faultTolerance.machines", "2")
	add("faultTolerance.zones", "1")
	for key, value := range map[string]string{
		"connectivityWindowS": "3", "configurationApplyS": "2", "graceS": "6", "drainS": "2", "retryBudgetRatio": "0.2",
		"budgetWindowS": "10", "retryBudgetSlack": "62", "probesPerS": "60",
	} {
		add("bounds."+key, value)
	}
	return b.String()
}

func (d *deployment) controlOf(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, d.ports.control)
}

func (d *deployment) frontendOf(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, d.ports.frontend)
}

// frozen returns the control machines that freeze: those of the first zone.
func (d *deployment) frozen() []*machine { return d.cores[:2] }

// liveControl returns the control machines that run.
func (d *deployment) liveControl(trouble bool) []*machine {
	if trouble {
		return d.cores[2:]
	}
	return d.cores
}

func (d *deployment) freeze() { d.signal(d.frozen(), syscall.SIGSTOP) }

func (d *deployment) thaw() { d.signal(d.frozen(), syscall.SIGCONT) }

// signal sends a signal to all processes of the machines.
func (d *deployment) signal(list []*machine, s syscall.Signal) {
	for _, m := range list {
		for _, p := range m.processes {
			d.rec.printf("%v to process %d on %s: error %v", s, p.Process.Pid, m.name, p.Process.Signal(s))
		}
	}
}

// stop ends the backend server and all processes.
func (d *deployment) stop() {
	if d.target != nil {
		d.target.stop()
	}
	all := append(append([]*machine(nil), d.cores...), d.edges...)
	d.signal(all, syscall.SIGTERM)
	killer := time.AfterFunc(endTime, func() { d.signal(all, syscall.SIGKILL) })
	defer killer.Stop()
	for _, m := range all {
		for _, p := range m.processes {
			_ = p.Wait() // the exit status after a signal is of no interest
		}
	}
}
