package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports, the same on all machines, and the limits of the site kmcw-gate.
const (
	frontendPort  = 8548
	readyPort     = 8542
	controlPort   = 8544
	directoryPort = 8546
	serverPort    = 8080
	internalPorts = "7540,7555"

	memoryMB      = 284
	connectWindow = 3 * time.Second
	grace         = 6 * time.Second
	evacuation    = 5 * time.Second
	outer         = 5 * time.Second
	lossSlack     = 200 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// platform plays the machines: it writes settings files, starts processes, sends them
// signals and starts them again.
type platform struct {
	rec   *record
	root  string
	dir   string
	net   string // the first three bytes of all addresses
	zones []string
	cores []*process
	edges []*process
	// locates has the directory of each zone.
	locates []*process
	// keep is true if the temporary folder, with the logs, stays.
	keep bool
}

// process is one process on a machine.
type process struct {
	p    *platform
	name string
	role string
	ip   string
	boot string

	// hold belongs to whoever stops, starts or freezes the process while others may.
	hold  sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// endedAt is when the process ended, set before ended is closed.
	endedAt time.Time
}

// newPlatform makes a deployment with a core machine and a directory in each zone, and
// the given number of frontend machines, over the zones in turn.
func newPlatform(ctx context.Context, rec *record, zones []string, edges int) (*platform, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, program)); err != nil {
		return nil, fmt.Errorf("the deploy build is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, root: root, dir: dir, zones: zones}
	if p.net, err = freeNetwork(ctx); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(len(zones), 3) {
		seeds = append(seeds, p.address(10+i, controlPort))
	}
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.%d", p.net, 10+i)
		core, err := p.newProcess("core-"+zone, "core", ip, zone, seeds, "control_plane")
		if err != nil {
			return nil, err
		}
		locate, err := p.newProcess("locate-"+zone, "locate", ip, zone, seeds, "directory")
		if err != nil {
			return nil, err
		}
		p.cores, p.locates = append(p.cores, core), append(p.locates, locate)
	}
	for i := range edges {
		zone := zones[i%len(zones)]
		edge, err := p.newProcess(fmt.Sprintf("frontend-%s-%d", zone, i), "edge", fmt.Sprintf("%s.%d", p.net, edgeHost(i)), zone, seeds, "frontend")
		if err != nil {
			return nil, err
		}
		p.edges = append(p.edges, edge)
	}
	return p, nil
}

// edgeHost returns the last byte of the address of a frontend machine. Those of servers lie between
// the first ones and the others.
func edgeHost(i int) int {
	if i < 60 {
		return 40 + i
	}
	return 130 + i - 60
}

// program is the program that the deploy file runs.
const program = "target/snipenode"

// freeNetwork returns the first three bytes of loopback addresses that nobody listens on.
func freeNetwork(ctx context.Context) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		var c net.ListenConfig
		l, err := c.Listen(ctx, "tcp", fmt.Sprintf("%s.40:%d", prefix, frontendPort))
		if err == nil {
			l.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (p *platform) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", p.net, host, port) }

// newProcess writes the settings file of a process, in the form that the users' pages show.
func (p *platform) newProcess(name, role, ip, zone string, seeds []string, serves string) (*process, error) {
	class := "core"
	if role == "edge" {
		class = "frontend"
	}
	lines := []string{
		"nodeName=" + name, "role=" + role, "machineClass=" + class, "serves=" + serves, "ipAddress=" + ip, "zone=" + zone, "region=r1",
		"internalPortRange=" + internalPorts, "seedNodes=" + strings.Join(seeds, ","), "bootstrap=true",
		fmt.Sprintf("limits.memoryMb=%d", memoryMB), "limits.cpuShare=0.32", "limits.cpuCores=1", "limits.fileDescriptors=4100", "limits.linkMbps=1000.0",
		"discovery=registration", "entry=directory", "heartbeatIntervalS=1.5", "contracts=base,drain,config,cost,retry,recover,health,places",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.connectivityWindowS=3", "bounds.ackTimeoutS=4", "bounds.catchUpS=4", "bounds.drainS=2",
		"bounds.graceS=6", "bounds.lossSlackS=0.2", "bounds.configurationApplyS=2", "bounds.rollbackSlackS=0.25", "bounds.outerBoundS=5",
		"bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retryBudgetSlack=56", "bounds.warmupFactor=1.5", "bounds.warmupSlack=5",
		"bounds.evacuationS=5", "bounds.recoveryS=15", "bounds.ttl_max_s=5", "bounds.probesPerS=60", "configurationMode=highest",
	}
	for _, z := range p.zones {
		lines = append(lines, "zones."+z+"=r1")
	}
	listen := func(key string, port int) {
		lines = append(lines, fmt.Sprintf("listenAddresses.%s=%s:%d", key, ip, port))
	}
	switch role {
	case "edge":
		listen("frontend", frontendPort)
		listen("ready", readyPort)
		lines = append(lines, "lossCounts=false", "limits.diskMb=0")
	case "core":
		listen("control", controlPort)
		lines = append(lines, "lossCounts=true", "limits.diskMb=256", "dataDirectory="+filepath.Join(p.dir, name))
	case "locate":
		listen("directory", directoryPort)
		lines = append(lines, "lossCounts=true", "limits.diskMb=256", "dataDirectory="+filepath.Join(p.dir, name))
	}
	boot := filepath.Join(p.dir, name+".conf")
	if err := os.WriteFile(boot, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	return &process{p: p, name: name, role: role, ip: ip, boot: boot}, nil
}

func (p *platform) all() []*process {
	var list []*process
	list = append(list, p.cores...)
	list = append(list, p.locates...)
	return append(list, p.edges...)
}

// load is the service of a case, its servers and its routes.
type load struct {
	service string
	slots   int
	work    time.Duration
	// hidesLoad is true if the servers don't tell their load.
	hidesLoad bool
	// troubled is true if a soak harms the servers.
	troubled bool
	routes   []route
}

// begin starts all processes and the servers of l, sends the first configuration, and waits until
// all frontend machines are ready.
func (p *platform) begin(ctx context.Context, l load) ([]*server, error) {
	if err := p.startAll(ctx); err != nil {
		return nil, err
	}
	servers, err := p.startServers(ctx, l)
	if err != nil {
		return nil, err
	}
	if err := p.order(ctx, p.controls(), "/v1/configuration/replace", configuration(1, l.service, l.routes)); err != nil {
		return nil, err
	}
	return servers, p.awaitReady(ctx, 20*time.Second)
}

// startAll starts all processes.
func (p *platform) startAll(ctx context.Context) error {
	for _, x := range p.all() {
		if err := x.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// endAll kills all processes and removes the temporary folder, unless it is to be kept or KEEP is set.
func (p *platform) endAll() {
	for _, x := range p.all() {
		if x.cmd != nil {
			x.signal(syscall.SIGKILL)
			<-x.ended
		}
	}
	if os.Getenv("KEEP") == "" && !p.keep {
		_ = os.RemoveAll(p.dir) // a folder that stays in the temporary folder does no harm
	}
}

// start starts the process with the command of the deploy file.
func (x *process) start(ctx context.Context) error {
	out, err := os.OpenFile(filepath.Join(x.p.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	x.cmd = exec.CommandContext(context.WithoutCancel(ctx), filepath.Join(x.p.root, program), x.role)
	x.cmd.Dir = x.p.root
	x.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SNIPEFRONT_BOOT=" + x.boot}
	x.cmd.Stdout, x.cmd.Stderr = out, out
	if err := x.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	x.ended = ended
	cmd := x.cmd
	go func() {
		err := cmd.Wait()
		x.p.rec.line("platform: %s has ended: %v", x.name, err)
		x.endedAt = time.Now()
		close(ended)
	}()
	x.p.rec.line("platform: %s started", x.name)
	return nil
}

func (x *process) signal(s syscall.Signal) {
	x.p.rec.line("platform: %s gets %v", x.name, s)
	_ = x.cmd.Process.Signal(s) // fails only if the process has ended
}

// restart stops the process as planned and starts it again.
func (x *process) restart(ctx context.Context) error {
	x.terminate(nil)
	time.Sleep(restartDelay)
	return x.start(ctx)
}

// terminate stops the process as planned, with SIGKILL after the grace period. It sends the given
// further signals meanwhile.
func (x *process) terminate(further []lateSignal) {
	killTime := time.Now().Add(grace)
	x.signal(syscall.SIGTERM)
	for _, v := range further {
		select {
		case <-x.ended:
			return
		case <-time.After(v.after):
			x.signal(v.signal)
		}
	}
	select {
	case <-x.ended:
	case <-time.After(time.Until(killTime)):
		x.signal(syscall.SIGKILL)
		<-x.ended
	}
}

// lateSignal is a signal that follows another one.
type lateSignal struct {
	signal syscall.Signal
	after  time.Duration
}

// isReady asks the process for its readiness, as the platform does.
func (x *process) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readiness", x.ip, readyPort), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all frontend machines are ready.
func (p *platform) awaitReady(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, x := range p.edges {
		for !x.isReady(ctx) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", x.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// controls returns the addresses of the control interfaces.
func (p *platform) controls() []string {
	var list []string
	for _, x := range p.cores {
		list = append(list, fmt.Sprintf("%s:%d", x.ip, controlPort))
	}
	return list
}
