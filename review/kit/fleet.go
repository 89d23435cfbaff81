package kit

import (
	"encoding/json"
	"fmt"
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

// Fleet is a small deployment of the site lamp-alerts.
type Fleet struct {
	Record   *Record
	Store    *Store
	Engines  []*Engine
	Gateways []*Gateway
	// Zones maps the zones to their regions.
	Zones  map[string]string
	folder string
	root   string
	net    string
	nextIP int
	keeper *exec.Cmd
}

// graceSeconds is grace_s of the site.
const graceSeconds = 8

// NewFleet starts a store. Root is the repository's root and folder that of the script.
func NewFleet(root, folder string) (*Fleet, error) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Record: record, root: root, Zones: map[string]string{"east-a": "scot-east", "east-b": "scot-east", "west-a": "scot-west"}}
	if fleet.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	// Addresses that other scripts on this machine don't use at the same time.
	pid := os.Getpid()
	fleet.net = fmt.Sprintf("127.%d.%d.", 1+pid>>8%200, pid&255)
	fleet.Store, err = NewStore(fleet.IP(), record)
	return fleet, err
}

// IP returns a loopback address that the fleet doesn't use yet.
func (fleet *Fleet) IP() string {
	fleet.nextIP++
	return fmt.Sprint(fleet.net, fleet.nextIP)
}

// AddEngine starts an engine.
func (fleet *Fleet) AddEngine(engine *Engine) error {
	fleet.Engines = append(fleet.Engines, engine)
	return engine.Start(fleet.IP(), fleet.Store, fleet.Record)
}

// Gateway is a process of the gateway role on a machine of its own address.
type Gateway struct {
	Name     string
	Zone     string
	Front    string
	Ready    string
	ip       string
	fleet    *Fleet
	settings string
	log      *os.File
	mutex    sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	stopped  bool
}

func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// fill fills in deploy/gateway.toml as the platform does.
func (fleet *Fleet) fill(template string, values map[string]string) (string, error) {
	data, err := os.ReadFile(filepath.Join(fleet.root, template))
	if err != nil {
		return "", err
	}
	text := string(data)
	if before, rest, ok := strings.Cut(text, "{{#zones}}\n"); ok {
		line, after, _ := strings.Cut(rest, "{{/zones}}\n")
		var lines strings.Builder
		for zone, region := range fleet.Zones {
			lines.WriteString(strings.NewReplacer("{{@}}", zone, "{{.|json}}", fmt.Sprintf("%q", region)).Replace(line))
		}
		text = before + lines.String() + after
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", fmt.Sprintf("%q", value))
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%s has a placeholder that isn't filled in: %s", template, text)
	}
	return text, nil
}

// AddGateway starts a gateway in a zone that reaches the store at an address.
func (fleet *Fleet) AddGateway(name, zone, store string) (*Gateway, error) {
	gateway := &Gateway{Name: name, Zone: zone, ip: fleet.IP(), fleet: fleet, settings: filepath.Join(fleet.folder, name+".toml")}
	var err error
	if gateway.Front, err = freePort(gateway.ip); err != nil {
		return nil, err
	}
	if gateway.Ready, err = freePort(gateway.ip); err != nil {
		return nil, err
	}
	peer, err := freePort(gateway.ip)
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(peer)
	text, err := fleet.fill("deploy/gateway.toml", map[string]string{
		"node_name": name, "region": fleet.Zones[zone], "zone": zone, "ip": gateway.ip, "listen.front": gateway.Front, "listen.readiness": gateway.Ready,
		"internal_ports.0": port, "platform.address": store, "bounds.grace_s": fmt.Sprint(graceSeconds),
		"limits.memory_mb": "284", "limits.max_fds": "1024",
	})
	if err != nil {
		return nil, err
	}
	if err = os.WriteFile(gateway.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if gateway.log, err = os.Create(filepath.Join(fleet.folder, name+".log")); err != nil {
		return nil, err
	}
	fleet.Gateways = append(fleet.Gateways, gateway)
	return gateway, gateway.Start()
}

// AddKeeper starts a process of the keeper role.
func (fleet *Fleet) AddKeeper(name, zone string) error {
	text, err := fleet.fill("deploy/keeper.toml", map[string]string{"node_name": name, "region": fleet.Zones[zone], "zone": zone, "platform.address": fleet.Store.Address()})
	if err != nil {
		return err
	}
	path := filepath.Join(fleet.folder, name+".toml")
	if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	fleet.keeper = exec.Command(filepath.Join(fleet.root, "target/agatestage"), "keeper", path)
	return fleet.keeper.Start()
}

// Start starts the gateway's process.
func (gateway *Gateway) Start() error {
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	if gateway.stopped {
		return nil
	}
	command := exec.Command(filepath.Join(gateway.fleet.root, "target/agatestage"), "gateway", gateway.settings)
	command.Dir, command.Stdout, command.Stderr = gateway.fleet.root, gateway.log, gateway.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	gateway.command, gateway.ended = command, ended
	gateway.fleet.Record.Add("platform: %s starts, process %d", gateway.Name, command.Process.Pid)
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (gateway *Gateway) Signal(signal syscall.Signal) {
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	gateway.fleet.Record.Add("platform: %s gets signal %d", gateway.Name, signal)
	// The process may have ended.
	_ = gateway.command.Process.Signal(signal)
}

// Kill kills the process and waits for its end.
func (gateway *Gateway) Kill() {
	gateway.Signal(syscall.SIGKILL)
	<-gateway.Ended()
}

// Ended returns a channel that is closed when the current process has ended.
func (gateway *Gateway) Ended() <-chan struct{} {
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	return gateway.ended
}

// Resident returns the resident memory of the process in MB, and its largest so far.
func (gateway *Gateway) Resident() (now, peak int) {
	gateway.mutex.Lock()
	pid := gateway.command.Process.Pid
	gateway.mutex.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			now = kilobytes >> 10
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			peak = kilobytes >> 10
		}
	}
	return now, peak
}

// IsReady asks the gateway whether it is ready.
func (gateway *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + gateway.Ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// trafficStarts is how long after the machines the traffic starts.
const trafficStarts = 10 * time.Second

// AwaitReady waits until all gateways are ready and traffic may start.
func (fleet *Fleet) AwaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, gateway := range fleet.Gateways {
			if gateway.IsReady() {
				ready++
			}
		}
		if ready == len(fleet.Gateways) {
			fleet.Record.Add("platform: all gateways are ready")
			time.Sleep(trafficStarts)
			return nil
		}
	}
	return fmt.Errorf("the gateways aren't ready after %v", timeout)
}

// Stop ends all processes. Logs of the gateways are kept if REVIEW_LOGS names a folder.
func (fleet *Fleet) Stop() {
	for _, gateway := range fleet.Gateways {
		gateway.mutex.Lock()
		gateway.stopped = true
		if gateway.command != nil && gateway.command.Process != nil {
			_ = gateway.command.Process.Signal(syscall.SIGCONT)
			_ = gateway.command.Process.Kill()
		}
		ended := gateway.ended
		gateway.mutex.Unlock()
		if ended != nil {
			<-ended
		}
		_ = gateway.log.Close()
	}
	if fleet.keeper != nil && fleet.keeper.Process != nil {
		_ = fleet.keeper.Process.Kill()
		_ = fleet.keeper.Wait()
	}
	for _, engine := range fleet.Engines {
		engine.Close()
	}
	fleet.Store.Close()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, gateway := range fleet.Gateways {
			if data, err := os.ReadFile(gateway.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, gateway.Name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(fleet.folder)
}

// Route is a route of the configuration.
type Route map[string]any

// Configure writes the first configuration.
func (fleet *Fleet) Configure(version int, services []string, routes ...Route) {
	var list []map[string]any
	for _, service := range services {
		list = append(list, map[string]any{"name": service, "health_path": "/health", "max_connections": 300, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 134354}})
	}
	fleet.Store.Put(Name("config"), map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": Tenant, "api_keys": []string{Key}}},
	})
	fleet.Record.Add("operator: configuration %d is acknowledged", version)
}

// BatchRoute returns the route of batch jobs of the site, centre-batch.
func BatchRoute(service string) Route {
	return Route{
		"name": "r-batch", "host": Host, "path_prefix": BatchPrefix, Name("kind"): "batch", "service": service, "timeout_ms": 15000, "target_latency_ms": 500,
		"priority": 2, "max_attempts": 3, "public": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 400,
		"result_deadline_ms": 18000, "max_wait_s": 60,
	}
}

// StreamRoute returns the route of the site's heat-nudge.
func StreamRoute(service string) Route {
	return Route{
		"name": "r-stream", "host": Host, "path_prefix": StreamPrefix, Name("kind"): "streaming", "service": service, "timeout_ms": 5000, "target_latency_ms": 300,
		"priority": 0, "max_attempts": 2, "public": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 400,
	}
}

// The names of the configuration.
const (
	Host         = "wuny96.example"
	BatchPrefix  = "/centre/"
	StreamPrefix = "/heat/"
	Tenant       = "huka270"
	Key          = "2b9wu3fexd9dnn2ctnfz"
	Service      = "wording-llm"
)

// JSON returns the encoding of a value.
func JSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
