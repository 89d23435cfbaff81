package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB and descriptors are those of a machine of the small sites.
	memoryMB    = 284
	descriptors = 4200
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	watchPeriod  = 20 * time.Millisecond
	metricsPort  = "9464"
)

// machine is a machine with one process of a role. The platform starts the process again when it has
// ended, and kills it if it uses more memory than the machine has.
type machine struct {
	fleet    *fleet
	name     string
	role     string
	ip       string
	zone     string
	callers  string
	ready    string
	settings string
	mutex    sync.Mutex
	command  *exec.Cmd
	// ends holds why its processes ended that nobody was asked to end.
	ends   []string
	peakKB int
	// killed counts the processes that exceeded the memory.
	killed int
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	names   names
	record  *record
	root    string
	folder  string
	store   *store
	engines *engines
	zones   map[string]string
	network string
	// lines holds the address under which the machines of a zone reach the store, if it isn't the store's.
	lines    map[string]string
	machines []*machine
	next     int
	stopping bool
	mutex    sync.Mutex
	// version is that of the last configuration.
	version int
}

// newFleet starts the stand-ins of a deployment in two zones of a region. Root is the repository, and
// folder a temporary folder.
func newFleet(names names, record *record, root, folder string) (*fleet, error) {
	fleet := &fleet{names: names, record: record, root: root, folder: folder, zones: map[string]string{"east-a": "scot-east", "east-b": "scot-east"}}
	// A network of its own, so that the fixed port for metrics is free.
	fleet.network = fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, 1+time.Now().UnixNano()/1000%250)
	var err error
	if fleet.store, err = newStore(names, record, fleet.address()); err != nil {
		return nil, err
	}
	fleet.engines = newEngines(names, record, fleet.store)
	return fleet, nil
}

// address returns the address of a new machine.
func (fleet *fleet) address() string {
	fleet.next++
	return fleet.network + strconv.Itoa(fleet.next)
}

// configure writes the next configuration: a route for jobs, one for streams and one for plain requests.
func (fleet *fleet) configure() error {
	fleet.version += 2
	data, err := json.Marshal(map[string]any{
		"version": fleet.version,
		"routes": []any{
			map[string]any{"name": "r-jobs", "host": "case.example", "path_prefix": "/jobs/", fleet.names.TypeField: "batch", "timeout_ms": 15000, "target_latency_ms": 500, "result_deadline_ms": 18000, "max_wait_s": 600, "max_attempts": 3, "priority": 2, "service": "llm"},
			map[string]any{"name": "r-plain", "host": "case.example", "path_prefix": "/plain/", fleet.names.TypeField: "idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "max_attempts": 3, "priority": 2, "service": "app"},
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/health", "max_connections": 300, "engine": map[string]any{"slots": engineSlots, "kv_capacity_tokens": 134354}},
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []string{"2b9wu3fexd9dnn2ctnfz"}, "rate_per_s": 0, "burst": 0}},
	})
	if err == nil {
		fleet.store.put(fleet.names.Config, data)
	}
	return err
}

// startEngines starts the engines of a service, in the zones by turns.
func (fleet *fleet) startEngines(service string, count int) error {
	for i := range count {
		zone := []string{"east-a", "east-b"}[i%2]
		if err := fleet.engines.start(fmt.Sprintf("i-%s-%02d", service, i), service, zone, fleet.address()); err != nil {
			return err
		}
	}
	return nil
}

// freePort returns a port of an address that is free.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	return port, err
}

// fill fills in the deploy file's template of a role's settings.
func (fleet *fleet) fill(machine *machine, peerPort string) (string, error) {
	data, err := os.ReadFile(filepath.Join(fleet.root, "deploy", machine.role+".toml"))
	if err != nil {
		return "", err
	}
	quote := func(text string) string { return `"` + text + `"` }
	store := fleet.store.address
	if line := fleet.lines[machine.zone]; line != "" {
		store = line
	}
	text := strings.NewReplacer(
		"{{node_name|json}}", quote(machine.name), "{{region|json}}", quote(fleet.zones[machine.zone]), "{{zone|json}}", quote(machine.zone),
		"{{listen.front|json}}", quote(machine.callers), "{{listen.readiness|json}}", quote(machine.ready),
		"{{ip}}", machine.ip, "{{internal_ports.0}}", peerPort, "{{platform.address}}", store,
		"{{bounds.grace_s}}", "8", "{{limits.memory_mb}}", strconv.Itoa(memoryMB), "{{limits.max_fds}}", strconv.Itoa(descriptors),
	).Replace(string(data))
	if begin, end := strings.Index(text, "{{#zones}}"), strings.Index(text, "{{/zones}}"); begin >= 0 && end > begin {
		zones := ""
		for zone, region := range fleet.zones {
			zones += fmt.Sprintf("%q = %q\n", zone, region)
		}
		text = text[:begin] + zones + text[end+len("{{/zones}}"):]
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("a placeholder of the template is left: %s", text)
	}
	return text, nil
}

// startMachine starts a machine with a role.
func (fleet *fleet) startMachine(name, role, zone string) (*machine, error) {
	machine := &machine{fleet: fleet, name: name, role: role, zone: zone, ip: fleet.address()}
	var ports [3]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(machine.ip); err != nil {
			return nil, err
		}
	}
	machine.callers, machine.ready = net.JoinHostPort(machine.ip, ports[0]), net.JoinHostPort(machine.ip, ports[1])
	text, err := fleet.fill(machine, ports[2])
	if err != nil {
		return nil, err
	}
	machine.settings = filepath.Join(fleet.folder, name+".toml")
	if err = os.WriteFile(machine.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err = machine.start(); err != nil {
		return nil, err
	}
	fleet.machines = append(fleet.machines, machine)
	return machine, nil
}

// start starts the machine's process with the deploy file's command.
func (machine *machine) start() error {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(machine.fleet.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(machine.fleet.root, "target", "agatestage"), machine.role, machine.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = command.Start(); err != nil {
		return err
	}
	machine.command = command
	go machine.watch(command, log)
	return nil
}

// watch waits until a process ends, kills it if it exceeds the memory, and starts the next one.
func (machine *machine) watch(command *exec.Cmd, log *os.File) {
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	exceeded := 0
	var err error
	for waiting := true; waiting; {
		select {
		case err = <-ended:
			waiting = false
		case <-time.After(watchPeriod):
			size := residentKB(command.Process.Pid)
			machine.mutex.Lock()
			machine.peakKB = max(machine.peakKB, size)
			machine.mutex.Unlock()
			if size > memoryMB<<10 && exceeded == 0 {
				exceeded = size
				machine.fleet.record.log("platform: %s uses %d MB of memory of %d MB and is killed", machine.name, size>>10, memoryMB)
				_ = command.Process.Kill()
			}
		}
	}
	_ = log.Close()
	machine.fleet.mutex.Lock()
	stopping := machine.fleet.stopping
	machine.fleet.mutex.Unlock()
	machine.mutex.Lock()
	if !stopping {
		why := fmt.Sprintf("ended: %v", err)
		if exceeded > 0 {
			machine.killed++
			why = fmt.Sprintf("memory %d MB", exceeded>>10)
		}
		machine.ends = append(machine.ends, why)
		machine.fleet.record.log("platform: the process of %s has ended (%s), end %d", machine.name, why, len(machine.ends))
	}
	machine.mutex.Unlock()
	if stopping {
		return
	}
	time.Sleep(restartDelay)
	machine.fleet.mutex.Lock()
	stopping = machine.fleet.stopping
	machine.fleet.mutex.Unlock()
	if !stopping {
		if err = machine.start(); err != nil {
			machine.fleet.record.log("platform: %s not started again: %v", machine.name, err)
		}
	}
}

// residentKB returns the resident memory of a process in kilobytes.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			size, _ := strconv.Atoi(strings.Fields(value)[0])
			return size
		}
	}
	return 0
}

// signal sends a signal to the machine's process.
func (machine *machine) signal(signal os.Signal) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.command != nil && machine.command.Process != nil {
		_ = machine.command.Process.Signal(signal)
	}
}

// state returns how often the machine's processes ended by themselves, how many of these exceeded the
// memory, and the largest memory in megabytes.
func (machine *machine) state() (ends, killed, peakMB int) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return len(machine.ends), machine.killed, machine.peakKB >> 10
}

// awaitReady waits until all gateways are ready.
func (fleet *fleet) awaitReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		ready := 0
		for _, machine := range fleet.machines {
			if machine.role != "gateway" || machine.isReady() {
				ready++
			}
		}
		if ready == len(fleet.machines) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// isReady asks the machine whether it is ready, as the platform does.
func (machine *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + machine.ready + machine.fleet.names.Readiness)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes.
func (fleet *fleet) stop() {
	fleet.mutex.Lock()
	fleet.stopping = true
	fleet.mutex.Unlock()
	for _, machine := range fleet.machines {
		machine.signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
}
