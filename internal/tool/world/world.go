// Package world runs a complete fleet in one process with embedded stand-ins, for the
// demo, load tests and benchmarks. It uses the loopback interface only.
package world

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	entry "github.com/agatestage/agatestage/internal/entry/start"
	"github.com/agatestage/agatestage/internal/fake/engine"
	"github.com/agatestage/agatestage/internal/fake/fault"
	"github.com/agatestage/agatestage/internal/fake/hosts"
	"github.com/agatestage/agatestage/internal/fake/plain"
	"github.com/agatestage/agatestage/internal/fake/store"
	side "github.com/agatestage/agatestage/internal/side/start"
	"github.com/agatestage/agatestage/internal/tool/boot"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/trust/keys"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	startTimeout = 20 * time.Second
	drainNotice  = 200 * time.Millisecond
	bitsPerByte  = 8
)

// Place is the region and availability zone of a host.
type Place struct {
	Region string
	Zone   string
}

// Engine describes a model engine and its side.
type Engine struct {
	Place

	Name   string
	Model  string
	Slots  int
	Timing engine.Timing
	// Spacing is the Spacing of setup.Target.
	Spacing time.Duration
}

// Service describes a plain service and its side.
type Service struct {
	Place

	Name string
}

// Entry describes an entry. Port 0 stands for any free port.
type Entry struct {
	Place

	Name       string
	CallerPort uint16
	AdminPort  uint16
}

// Spec describes a fleet.
type Spec struct {
	Entries  []Entry
	Engines  []Engine
	Services []Service
	// Home is the region of the store and the host list.
	Home string
	// RegionDelay is the one-way delay between regions, RegionRate the rate of the
	// link between them in bits per second. If RegionDelay is 0, no link is emulated.
	RegionDelay time.Duration
	RegionRate  int
	// AdjustSettings modifies the settings of each entry before it starts.
	AdjustSettings func(settings *setup.Settings)
	// Router replaces the router of each entry.
	Router func(place Place) agatestage.Router
}

// World is a running fleet.
type World struct {
	Store    *store.Store
	Engines  map[string]*engine.Engine
	Services map[string]*plain.Service
	Operator keys.Key
	Entries  map[string]*entry.Entry
	// Pipe is the emulated link between the regions; nil if RegionDelay is 0.
	Pipe            *fault.Pipe
	clock           agatestage.Clock
	spec            Spec
	folder          string
	ctx             context.Context
	cancel          context.CancelFunc
	authority       *certs.Authority
	hosts           *hosts.List
	storeAddress    netip.AddrPort
	hostsAddress    netip.AddrPort
	apps            []*fx.App
	mutex           sync.Mutex
	regionOf        map[netip.AddrPort]string
	relayAddresses  map[string]netip.AddrPort
	targetAddresses map[string]netip.AddrPort
}

var loopback = netip.MustParseAddr("127.0.0.1")

func loopbackAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(loopback, port)
}

// New starts a fleet that keeps its files in folder. The caller must call Stop, also
// after an error.
func New(folder string, spec Spec) (world *World, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	clock := agatestage.SystemClock()
	world = &World{
		Store: store.New(clock), Engines: make(map[string]*engine.Engine), Services: make(map[string]*plain.Service),
		Operator: keys.New(), Entries: make(map[string]*entry.Entry), clock: clock, spec: spec, folder: folder,
		ctx: ctx, cancel: cancel, hosts: hosts.New(clock, 0),
		regionOf: make(map[netip.AddrPort]string), relayAddresses: make(map[string]netip.AddrPort),
		targetAddresses: make(map[string]netip.AddrPort),
	}
	if spec.RegionDelay > 0 {
		world.Pipe = fault.NewPipe(spec.RegionDelay, spec.RegionRate/bitsPerByte)
	}
	if world.authority, err = certs.NewAuthority(clock); err != nil {
		return world, err
	}
	if world.storeAddress, err = world.serveHTTP(world.Store.Handler()); err != nil {
		return world, err
	}
	if world.hostsAddress, err = world.serveHTTP(world.hosts.Handler()); err != nil {
		return world, err
	}
	return world, world.startAll()
}

func (world *World) startAll() error {
	for _, config := range world.spec.Engines {
		if err := world.startEngine(config); err != nil {
			return err
		}
	}
	for _, config := range world.spec.Services {
		if err := world.startService(config); err != nil {
			return err
		}
	}
	for _, config := range world.spec.Entries {
		if err := world.startEntry(config); err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP serves a handler on a free port until the world's context ends.
func (world *World) serveHTTP(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", loopbackAddress(0).String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen for stand-in")
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(world.ctx, func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// platformURL returns the URL at which a region reaches a platform service: through a
// relay on the link between the regions, unless the region is the home region.
func (world *World) platformURL(region string, service netip.AddrPort) (string, error) {
	if world.Pipe == nil || region == world.spec.Home {
		return "http://" + service.String(), nil
	}
	relay, err := fault.NewTCP(service, 1)
	if err != nil {
		return "", err
	}
	relay.Set(fault.Faults{Pipe: world.Pipe})
	go func() { _ = relay.Serve(world.ctx) }()
	return "http://" + relay.Address().String(), nil
}

// addressMapping returns the mapping from a peer's address to the one at which a
// region reaches it, which is a relay on the link between the regions if the peer is in
// another region.
func (world *World) addressMapping(region string) func(netip.AddrPort) netip.AddrPort {
	return func(address netip.AddrPort) netip.AddrPort {
		world.mutex.Lock()
		defer world.mutex.Unlock()
		peerRegion, known := world.regionOf[address]
		if world.Pipe == nil || !known || peerRegion == region {
			return address
		}
		key := region + " " + address.String()
		if relay, ok := world.relayAddresses[key]; ok {
			return relay
		}
		relay, err := fault.NewUDP(address, 1)
		if err != nil {
			return address
		}
		relay.Set(fault.Faults{Pipe: world.Pipe})
		go func() { _ = relay.Serve(world.ctx) }()
		world.relayAddresses[key] = relay.Address()
		return relay.Address()
	}
}

// baseSettings returns the settings that all roles have in common, and issues the
// host's certificate.
func (world *World) baseSettings(name string, place Place, role agatestage.Role) (settings setup.Settings, err error) {
	settings = setup.Defaults()
	settings.Name, settings.Region, settings.Zone = name, place.Region, place.Zone
	settings.Listen = setup.Listen{Peer: loopbackAddress(0), Caller: loopbackAddress(0), Admin: loopbackAddress(0), Metrics: loopbackAddress(0)}
	settings.Trust.Folder = filepath.Join(world.folder, name, "trust")
	settings.Drain.Notice = setup.Duration{Duration: drainNotice}
	if settings.Platform.Store, err = world.platformURL(place.Region, world.storeAddress); err != nil {
		return settings, err
	}
	if settings.Platform.Hosts, err = world.platformURL(place.Region, world.hostsAddress); err != nil {
		return settings, err
	}
	return settings, world.authority.Issue(settings.Trust.Folder, name, role)
}

// startApp starts an application and adds its host to the host list.
func (world *World) startApp(app *fx.App, host agatestage.Host, address func() netip.AddrPort) error {
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(world.ctx, startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	world.apps = append(world.apps, app)
	host.Address = address()
	world.mutex.Lock()
	world.regionOf[host.Address] = host.Region
	world.mutex.Unlock()
	world.hosts.Put(host)
	return nil
}

func (world *World) startEngine(config Engine) error {
	standIn := engine.New(engine.WithTiming(config.Timing), engine.WithHoldings(agatestage.Holding{Model: config.Model, Version: "1"}))
	go func() { _ = standIn.Serve(world.ctx) }()
	world.Engines[config.Name] = standIn
	target := setup.Target{Name: config.Name, Kind: agatestage.KindEngine, Slots: config.Slots, Queue: 4 * config.Slots, Spacing: setup.Duration{Duration: config.Spacing}}
	return world.startSide(config.Place, target, standIn.Handler())
}

func (world *World) startService(config Service) error {
	standIn := plain.New(world.clock)
	world.Services[config.Name] = standIn
	target := setup.Target{Name: config.Name, Kind: agatestage.KindService, Slots: 64, Queue: 256}
	return world.startSide(config.Place, target, standIn.Handler())
}

// startSide starts a target and a side for it.
func (world *World) startSide(place Place, target setup.Target, handler http.Handler) error {
	name := "side-" + target.Name
	settings, err := world.baseSettings(name, place, agatestage.RoleSide)
	if err != nil {
		return err
	}
	if target.Address, err = world.serveHTTP(handler); err != nil {
		return err
	}
	world.targetAddresses[target.Name] = target.Address
	settings.Targets = []setup.Target{target}
	var running *side.Side
	app := boot.NewSide(settings, world.clock, []link.Option{link.WithAddressMapping(world.addressMapping(place.Region))}, &running)
	host := agatestage.Host{Name: name, Role: agatestage.RoleSide, Region: place.Region, Zone: place.Zone}
	return world.startApp(app, host, func() netip.AddrPort { return running.Node.Address() })
}

func (world *World) startEntry(config Entry) error {
	settings, err := world.baseSettings(config.Name, config.Place, agatestage.RoleEntry)
	if err != nil {
		return err
	}
	settings.Listen.Caller, settings.Listen.Admin = loopbackAddress(config.CallerPort), loopbackAddress(config.AdminPort)
	settings.DataFolder = filepath.Join(world.folder, config.Name, "data")
	settings.Trust.OperatorDigests = []string{world.Operator.Digest}
	if world.spec.AdjustSettings != nil {
		world.spec.AdjustSettings(&settings)
	}
	if err = os.MkdirAll(settings.DataFolder, 0o700); err != nil {
		return errors.Wrap(err, "create data folder")
	}
	var running *entry.Entry
	links := []link.Option{link.WithAddressMapping(world.addressMapping(config.Region))}
	var extra []fx.Option
	if world.spec.Router != nil {
		extra = append(extra, fx.Decorate(func(agatestage.Router) agatestage.Router { return world.spec.Router(config.Place) }))
	}
	app := boot.NewEntry(settings, world.clock, links, extra, &running)
	host := agatestage.Host{Name: config.Name, Role: agatestage.RoleEntry, Region: config.Region, Zone: config.Zone}
	err = world.startApp(app, host, func() netip.AddrPort { return running.Node.Address() })
	world.Entries[config.Name] = running
	return err
}

// CallerURL returns the URL at which an entry serves callers.
func (world *World) CallerURL(name string) string {
	return "http://" + world.Entries[name].CallerAddress()
}

// AdminURL returns the URL at which an entry serves operators.
func (world *World) AdminURL(name string) string {
	return "http://" + world.Entries[name].AdminAddress()
}

// TargetURL returns the URL of a target itself, which bypasses its side.
func (world *World) TargetURL(name string) string {
	return "http://" + world.targetAddresses[name].String()
}

// Clock returns the clock of the fleet.
func (world *World) Clock() agatestage.Clock {
	return world.clock
}

// Stop stops the applications in reverse order of their start, and then the
// stand-ins. It returns the first error.
func (world *World) Stop() error {
	defer world.cancel()
	var first error
	for i := len(world.apps) - 1; i >= 0; i-- {
		ctx, cancel := context.WithTimeout(context.Background(), world.apps[i].StopTimeout())
		if err := world.apps[i].Stop(ctx); err != nil && first == nil {
			first = err
		}
		cancel()
	}
	return first
}
