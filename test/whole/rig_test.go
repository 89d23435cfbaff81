// Package whole tests the system as its users run it: entries, sides and
// stand-ins as real processes, with faults between them.
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
	// patience bounds what must happen soon; it is no measured time.
	patience = 30 * time.Second
	poll     = 50 * time.Millisecond
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

// output collects what a process prints.
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

// process is one running program.
type process struct {
	name   string
	binary string
	args   []string
	cmd    *exec.Cmd
	out    *output
	done   chan struct{}
}

func start(name, binary string, args ...string) *process {
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

func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	<-process.done
}

// find waits for a pattern in the output and returns its first group.
func (process *process) find(pattern string) string {
	expression := regexp.MustCompile(pattern)
	var found string
	gomega.Eventually(func() bool {
		match := expression.FindStringSubmatch(process.out.String())
		if match == nil {
			return false
		}
		found = match[1]
		return true
	}, patience, poll).Should(gomega.BeTrue(), "%s: no %s in:\n%s", process.name, pattern, process.out)
	return found
}

// rig is one small fleet.
type rig struct {
	folder    string
	ctx       context.Context
	authority *certs.Authority
	operator  keys.Key
	store     string
	hosts     string
	key       string
	processes map[string]*process
	callers   map[string]string
	admins    map[string]string
	http      *http.Client
}

func newRig() *rig {
	ctx, cancel := context.WithCancel(context.Background())
	rig := &rig{
		folder: ginkgo.GinkgoT().TempDir(), ctx: ctx, operator: keys.New(), processes: make(map[string]*process),
		callers: make(map[string]string), admins: make(map[string]string),
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

// stop ends all processes, and prints their output if the test failed.
func (rig *rig) stop() {
	for name, process := range rig.processes {
		process.kill()
		if ginkgo.CurrentSpecReport().Failed() {
			fmt.Fprintf(ginkgo.GinkgoWriter, "--- %s\n%s\n", name, process.out)
		}
	}
}

// standin starts a stand-in and returns its address.
func (rig *rig) standin(name string, args ...string) string {
	process := start(name, standinBinary, args...)
	rig.processes[name] = process
	return process.find(`(127\.0\.0\.1:\d+)`)
}

func (rig *rig) engine(name string, args ...string) netip.AddrPort {
	args = append([]string{"engine", "--holds=" + modelName + ":1", "--step=2ms"}, args...)
	return netip.MustParseAddrPort(rig.standin(name, args...))
}

func loopback() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:0")
}

func (rig *rig) settings(name, zone string, role agatestage.Role) setup.Settings {
	settings := setup.Defaults()
	settings.Name, settings.Region, settings.Zone = name, "east", zone
	settings.Listen = setup.Listen{Peer: loopback(), Metrics: loopback()}
	settings.Trust.Folder = filepath.Join(rig.folder, name, "trust")
	settings.Drain.Notice = setup.Duration{Duration: 300 * time.Millisecond}
	gomega.Expect(rig.authority.Issue(settings.Trust.Folder, name, role)).To(gomega.Succeed())
	return settings
}

// launch writes the settings and starts the process.
func (rig *rig) launch(command string, settings setup.Settings) *process {
	data, err := toml.Marshal(settings)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	path := filepath.Join(rig.folder, settings.Name+".toml")
	gomega.Expect(os.WriteFile(path, data, 0o600)).To(gomega.Succeed())
	process := start(settings.Name, systemBinary, command, path, "--verbosity=1")
	rig.processes[settings.Name] = process
	return process
}

func (rig *rig) list(host agatestage.Host) {
	data, err := json.Marshal(host)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := rig.http.Post(rig.hosts+"/hosts", "application/json", bytes.NewReader(data))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
}

// side starts a side; through changes the address that entries are told.
func (rig *rig) side(name, zone string, through func(netip.AddrPort) netip.AddrPort, targets ...setup.Target) {
	settings := rig.settings(name, zone, agatestage.RoleSide)
	settings.Targets = targets
	rig.listSide(name, zone, rig.launch("side", settings), through)
}

// listSide learns a side's address from its output and lists it.
func (rig *rig) listSide(name, zone string, process *process, through func(netip.AddrPort) netip.AddrPort) {
	address := netip.MustParseAddrPort(process.find(`side serves" peer="(127[^"]+)"`))
	if through != nil {
		address = through(address)
	}
	rig.list(agatestage.Host{Name: name, Role: agatestage.RoleSide, Region: "east", Zone: zone, Address: address})
}

func engineTarget(name string, address netip.AddrPort) setup.Target {
	return setup.Target{Name: name, Kind: agatestage.KindEngine, Address: address, Slots: 8, Queue: 32}
}

// entry starts an entry that keeps ledgers.
func (rig *rig) entry(name, zone string, change func(*setup.Settings)) {
	settings := rig.settings(name, zone, agatestage.RoleEntry)
	settings.Listen.Caller, settings.Listen.Admin = loopback(), loopback()
	settings.Platform = setup.Platform{Store: rig.store, Hosts: rig.hosts}
	settings.DataFolder = filepath.Join(rig.folder, name, "data")
	settings.Trust.OperatorDigests = []string{rig.operator.Digest}
	settings.Bounds.BodyBytes = 64 << 10
	settings.Bounds.BodyTime = setup.Duration{Duration: time.Second}
	if change != nil {
		change(&settings)
	}
	rig.adopt(name, zone, rig.launch("entry", settings))
}

// adopt learns an entry's addresses from its output.
func (rig *rig) adopt(name, zone string, process *process) {
	peer := netip.MustParseAddrPort(process.find(`entry serves" peer="([^"]+)"`))
	rig.callers[name] = "http://" + process.find(`callers="([^"]+)"`)
	rig.admins[name] = "http://" + process.find(`operators="([^"]+)"`)
	rig.list(agatestage.Host{Name: name, Role: agatestage.RoleEntry, Region: "east", Zone: zone, Address: peer})
}

// restart runs a process again with the same settings.
func (rig *rig) restart(name, zone string) {
	process := rig.processes[name]
	process.kill()
	process.run()
	rig.adopt(name, zone, process)
}

// failStore sets the store's faults.
func (rig *rig) failStore(faults store.Faults) {
	data, err := json.Marshal(faults)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := rig.http.Post(rig.store+"/fail", "application/json", bytes.NewReader(data))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
}

// udpRelay starts a relay in front of a peer address.
func (rig *rig) udpRelay(target netip.AddrPort) *fault.UDP {
	relay, err := fault.NewUDP(target, 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = relay.Serve(rig.ctx) }()
	return relay
}

// tcpRelay starts a relay in front of a target or the store.
func (rig *rig) tcpRelay(target netip.AddrPort) *fault.TCP {
	relay, err := fault.NewTCP(target, 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = relay.Serve(rig.ctx) }()
	return relay
}
