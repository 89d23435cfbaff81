// Package whole holds end-to-end tests. They run the system as its users do, with
// entries, sides and stand-ins as separate processes, kill and pause these, and
// inject network and store faults.
package whole

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"github.com/pelletier/go-toml/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/fake/fault"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/trust/keys"
)

const (
	modelName = "wording"
	// eventTimeout limits the wait for an event that is expected to happen.
	eventTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

var systemBinary, standinBinary string

func TestWhole(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "whole system")
}

var _ = ginkgo.BeforeSuite(func() {
	var err error
	systemBinary, err = gexec.Build("github.com/agatestage/agatestage/cmd/agatestage")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	standinBinary, err = gexec.Build("github.com/agatestage/agatestage/cmd/standin")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
})

var _ = ginkgo.AfterSuite(gexec.CleanupBuildArtifacts)

// output is the collected output of a process. It is safe for concurrent use.
type output struct {
	mutex sync.Mutex
	data  bytes.Buffer
}

func (output *output) Write(data []byte) (int, error) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.data.Write(data)
}

func (output *output) String() string {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.data.String()
}

// process is a program that can be killed and run again with the same arguments.
type process struct {
	name   string
	binary string
	args   []string
	cmd    *exec.Cmd
	out    *output
	done   chan struct{}
}

func startProcess(name, binary string, args ...string) *process {
	process := &process{name: name, binary: binary, args: args}
	process.run()
	return process
}

func (process *process) run() {
	process.out, process.done = &output{}, make(chan struct{})
	process.cmd = exec.Command(process.binary, process.args...)
	process.cmd.Stdout, process.cmd.Stderr = process.out, process.out
	gomega.Expect(process.cmd.Start()).To(gomega.Succeed())
	cmd, done := process.cmd, process.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (process *process) signal(signal syscall.Signal) {
	_ = process.cmd.Process.Signal(signal)
}

func (process *process) running() bool {
	select {
	case <-process.done:
		return false
	default:
		return true
	}
}

// state tells how the process ended or, if it runs, what the kernel says that it does.
func (process *process) state() string {
	if !process.running() {
		return process.cmd.ProcessState.String()
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.cmd.Process.Pid))
	if err != nil {
		return "running"
	}
	for line := range strings.Lines(string(status)) {
		if state, ok := strings.CutPrefix(line, "State:"); ok {
			return strings.TrimSpace(state)
		}
	}
	return "running"
}

func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	<-process.done
}

// waitOutput waits until the output matches a pattern and returns its first
// capture group.
func (process *process) waitOutput(pattern string) string {
	expression := regexp.MustCompile(pattern)
	var found string
	gomega.Eventually(func() bool {
		match := expression.FindStringSubmatch(process.out.String())
		if match == nil {
			return false
		}
		found = match[1]
		return true
	}, eventTimeout, pollInterval).Should(gomega.BeTrue(), "%s: output does not match %s:\n%s", process.name, pattern, process.out)
	return found
}

// rig is a small fleet under test, with the addresses and credentials that are
// needed to call it.
type rig struct {
	folder      string
	ctx         context.Context
	authority   *certs.Authority
	operatorKey keys.Key
	// store and hosts are the base URLs of the store and of the host list.
	store string
	hosts string
	// key is the caller key of the organisation under test.
	key        string
	processes  map[string]*process
	callerURLs map[string]string
	adminURLs  map[string]string
	http       *http.Client
}

func newRig() *rig {
	ctx, cancel := context.WithCancel(context.Background())
	rig := &rig{
		folder: ginkgo.GinkgoT().TempDir(), ctx: ctx, operatorKey: keys.New(), processes: make(map[string]*process),
		callerURLs: make(map[string]string), adminURLs: make(map[string]string),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	ginkgo.DeferCleanup(func() {
		cancel()
		rig.stop()
	})
	var err error
	rig.authority, err = certs.NewAuthority(agatestage.SystemClock())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	rig.store = "http://" + rig.standin("store", "store")
	rig.hosts = "http://" + rig.standin("hosts", "hosts", "--lag=200ms")
	return rig
}

// stop kills all processes, and prints their output if the spec failed.
func (rig *rig) stop() {
	for name, process := range rig.processes {
		state := process.state()
		process.kill()
		if ginkgo.CurrentSpecReport().Failed() {
			fmt.Fprintf(ginkgo.GinkgoWriter, "--- %s (%s)\n%s\n", name, state, process.out)
		}
	}
}

// standin starts a stand-in and returns the address that it listens on.
func (rig *rig) standin(name string, args ...string) string {
	process := startProcess(name, standinBinary, args...)
	rig.processes[name] = process
	return process.waitOutput(`(127\.0\.0\.1:\d+)`)
}

func (rig *rig) engine(name string, args ...string) netip.AddrPort {
	args = append([]string{"engine", "--holds=" + modelName + ":1", "--step=2ms"}, args...)
	return netip.MustParseAddrPort(rig.standin(name, args...))
}

func loopbackAddress() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:0")
}

func (rig *rig) settings(name, zone string, role agatestage.Role) setup.Settings {
	settings := setup.Defaults()
	settings.Name, settings.Region, settings.Zone = name, "east", zone
	settings.Listen = setup.Listen{Peer: loopbackAddress(), Metrics: loopbackAddress()}
	settings.Trust.Folder = filepath.Join(rig.folder, name, "trust")
	settings.Drain.Notice = setup.Duration{Duration: 300 * time.Millisecond}
	gomega.Expect(rig.authority.Issue(settings.Trust.Folder, name, role)).To(gomega.Succeed())
	return settings
}

// launch writes the settings file and starts the process.
func (rig *rig) launch(command string, settings setup.Settings) *process {
	data, err := toml.Marshal(settings)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	path := filepath.Join(rig.folder, settings.Name+".toml")
	gomega.Expect(os.WriteFile(path, data, 0o600)).To(gomega.Succeed())
	process := startProcess(settings.Name, systemBinary, command, path, "--verbosity=1")
	rig.processes[settings.Name] = process
	return process
}

func (rig *rig) setHost(host agatestage.Host) {
	data, err := json.Marshal(host)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := rig.http.Post(rig.hosts+"/hosts", "application/json", bytes.NewReader(data))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
}

// side starts a side. If advertise is given, the host list names the
// address that it returns for the side, such as that of a relay.
func (rig *rig) side(name, zone string, advertise func(netip.AddrPort) netip.AddrPort, targets ...setup.Target) {
	settings := rig.settings(name, zone, agatestage.RoleSide)
	settings.Targets = targets
	rig.registerSide(name, zone, rig.launch("side", settings), advertise)
}

// registerSide reads a side's address from its output and adds the side to the
// host list.
func (rig *rig) registerSide(name, zone string, process *process, advertise func(netip.AddrPort) netip.AddrPort) {
	address := netip.MustParseAddrPort(process.waitOutput(`side serves" peer="(127[^"]+)"`))
	if advertise != nil {
		address = advertise(address)
	}
	rig.setHost(agatestage.Host{Name: name, Role: agatestage.RoleSide, Region: "east", Zone: zone, Address: address})
}

func engineTarget(name string, address netip.AddrPort) setup.Target {
	return setup.Target{Name: name, Kind: agatestage.KindEngine, Address: address, Slots: 8, Queue: 32}
}

// entry starts an entry that stores ledgers. configure may change its
// settings.
func (rig *rig) entry(name, zone string, configure func(*setup.Settings)) {
	settings := rig.settings(name, zone, agatestage.RoleEntry)
	settings.Listen.Caller, settings.Listen.Admin = loopbackAddress(), loopbackAddress()
	settings.Platform = setup.Platform{Store: rig.store, Hosts: rig.hosts}
	settings.DataFolder = filepath.Join(rig.folder, name, "data")
	settings.Trust.OperatorDigests = []string{rig.operatorKey.Digest}
	settings.Bounds.BodyBytes = 64 << 10
	settings.Bounds.BodyTime = setup.Duration{Duration: time.Second}
	if configure != nil {
		configure(&settings)
	}
	rig.registerEntry(name, zone, rig.launch("entry", settings))
}

// registerEntry reads an entry's addresses from its output and adds the entry to
// the host list.
func (rig *rig) registerEntry(name, zone string, process *process) {
	peer := netip.MustParseAddrPort(process.waitOutput(`entry serves" peer="([^"]+)"`))
	rig.callerURLs[name] = "http://" + process.waitOutput(`callers="([^"]+)"`)
	rig.adminURLs[name] = "http://" + process.waitOutput(`operators="([^"]+)"`)
	rig.setHost(agatestage.Host{Name: name, Role: agatestage.RoleEntry, Region: "east", Zone: zone, Address: peer})
}

// restart kills an entry and runs it again with the same settings.
func (rig *rig) restart(name, zone string) {
	process := rig.processes[name]
	process.kill()
	process.run()
	rig.registerEntry(name, zone, process)
}

// setStoreFaults sets the faults that the store injects.
func (rig *rig) setStoreFaults(faults store.Faults) {
	data, err := json.Marshal(faults)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := rig.http.Post(rig.store+"/fail", "application/json", bytes.NewReader(data))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
}

// udpRelay starts a relay that can inject faults in front of a peer address.
func (rig *rig) udpRelay(target netip.AddrPort) *fault.UDP {
	relay, err := fault.NewUDP(target, 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = relay.Serve(rig.ctx) }()
	return relay
}

// tcpRelay starts a relay that can inject faults in front of a target, the
// store or the host list.
func (rig *rig) tcpRelay(target netip.AddrPort) *fault.TCP {
	relay, err := fault.NewTCP(target, 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = relay.Serve(rig.ctx) }()
	return relay
}
