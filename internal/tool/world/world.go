// Package world runs a whole fleet in one process on embedded stand-ins, for the
// demo, load trials and benchmarks. Nothing leaves the loopback interface.
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
	startTime  = 20 * time.Second
	drainStart = 200 * time.Millisecond
	bitsInByte = 8
)

// Place is where a host stands.
type Place struct {
	Region string
	Zone   string
}

// Engine is one model engine and the side beside it.
type Engine struct {
	Place

	Name  string
	Model string
	Slots int
	Pace  engine.Pace
	// Spacing is that of setup.Target.
	Spacing time.Duration
}

// Service is one plain service and the side beside it.
type Service struct {
	Place

	Name string
}

// Entry is one entry. Port 0 takes a free one.
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
	// Home is the region of the store and of the host list.
	Home string
	// RegionDelay is the one-way delay between regions, RegionRate the rate of
	// the link between them in bits a second; 0 leaves regions undivided.
	RegionDelay time.Duration
	RegionRate  int
	// Change adjusts the settings of each entry.
	Change func(settings *setup.Settings)
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
	// Pipe is the link between the regions, if they are divided.
	Pipe      *fault.Pipe
	clock     agatestage.Clock
	spec      Spec
	folder    string
	ctx       context.Context
	cancel    context.CancelFunc
	authority *certs.Authority
	hosts     *hosts.List
	storeAt   netip.AddrPort
	hostsAt   netip.AddrPort
	apps      []*fx.App
	mutex     sync.Mutex
	regions   map[netip.AddrPort]string
	relays    map[string]netip.AddrPort
	targets   map[string]netip.AddrPort
}

var loopback = netip.MustParseAddr("127.0.0.1")

func local(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(loopback, port)
}

// New starts a fleet whose files lie in folder. Stop ends it, also after an
// error.
func New(folder string, spec Spec) (world *World, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	clock := agatestage.SystemClock()
	world = &World{
		Store: store.New(clock), Engines: make(map[string]*engine.Engine), Services: make(map[string]*plain.Service),
		Operator: keys.New(), Entries: make(map[string]*entry.Entry), clock: clock, spec: spec, folder: folder,
		ctx: ctx, cancel: cancel, hosts: hosts.New(clock, 0),
		regions: make(map[netip.AddrPort]string), relays: make(map[string]netip.AddrPort),
		targets: make(map[string]netip.AddrPort),
	}
	if spec.RegionDelay > 0 {
		world.Pipe = fault.NewPipe(spec.RegionDelay, spec.RegionRate/bitsInByte)
	}
	if world.authority, err = certs.NewAuthority(clock); err != nil {
		return world, err
	}
	if world.storeAt, err = world.serveHTTP(world.Store.Handler()); err != nil {
		return world, err
	}
	if world.hostsAt, err = world.serveHTTP(world.hosts.Handler()); err != nil {
		return world, err
	}
	return world, world.startAll()
}

func (world *World) startAll() error {
	for _, wanted := range world.spec.Engines {
		if err := world.startEngine(wanted); err != nil {
			return err
		}
	}
	for _, wanted := range world.spec.Services {
		if err := world.startService(wanted); err != nil {
			return err
		}
	}
	for _, wanted := range world.spec.Entries {
		if err := world.startEntry(wanted); err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP serves a handler on a free port until the world ends.
func (world *World) serveHTTP(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", local(0).String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(world.ctx, func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// platform returns the URL of a platform service as a region reaches it.
func (world *World) platform(region string, service netip.AddrPort) (string, error) {
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

// path returns the address by which a region reaches a peer: through a relay on
// the link between the regions, if the peer is in another one.
func (world *World) path(region string) func(netip.AddrPort) netip.AddrPort {
	return func(address netip.AddrPort) netip.AddrPort {
		world.mutex.Lock()
		defer world.mutex.Unlock()
		there, known := world.regions[address]
		if world.Pipe == nil || !known || there == region {
			return address
		}
		key := region + " " + address.String()
		if relay, ok := world.relays[key]; ok {
			return relay
		}
		relay, err := fault.NewUDP(address, 1)
		if err != nil {
			return address
		}
		relay.Set(fault.Faults{Pipe: world.Pipe})
		go func() { _ = relay.Serve(world.ctx) }()
		world.relays[key] = relay.Address()
		return relay.Address()
	}
}

// base returns the settings that all processes share.
func (world *World) base(name string, place Place, role agatestage.Role) (settings setup.Settings, err error) {
	settings = setup.Defaults()
	settings.Name, settings.Region, settings.Zone = name, place.Region, place.Zone
	settings.Listen = setup.Listen{Peer: local(0), Caller: local(0), Admin: local(0), Metrics: local(0)}
	settings.Trust.Folder = filepath.Join(world.folder, name, "trust")
	settings.Drain.Notice = setup.Duration{Duration: drainStart}
	if settings.Platform.Store, err = world.platform(place.Region, world.storeAt); err != nil {
		return settings, err
	}
	if settings.Platform.Hosts, err = world.platform(place.Region, world.hostsAt); err != nil {
		return settings, err
	}
	return settings, world.authority.Issue(settings.Trust.Folder, name, role)
}

// run starts an application and lists its host.
func (world *World) run(app *fx.App, host agatestage.Host, address func() netip.AddrPort) error {
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(world.ctx, startTime)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	world.apps = append(world.apps, app)
	host.Address = address()
	world.mutex.Lock()
	world.regions[host.Address] = host.Region
	world.mutex.Unlock()
	world.hosts.Put(host)
	return nil
}

func (world *World) startEngine(wanted Engine) error {
	stand := engine.New(engine.WithPace(wanted.Pace), engine.WithHoldings(agatestage.Holding{Model: wanted.Model, Version: "1"}))
	go func() { _ = stand.Serve(world.ctx) }()
	world.Engines[wanted.Name] = stand
	target := setup.Target{Name: wanted.Name, Kind: agatestage.KindEngine, Slots: wanted.Slots, Queue: 4 * wanted.Slots, Spacing: setup.Duration{Duration: wanted.Spacing}}
	return world.startSide(wanted.Place, target, stand.Handler())
}

func (world *World) startService(wanted Service) error {
	stand := plain.New(world.clock)
	world.Services[wanted.Name] = stand
	target := setup.Target{Name: wanted.Name, Kind: agatestage.KindService, Slots: 64, Queue: 256}
	return world.startSide(wanted.Place, target, stand.Handler())
}

// startSide starts a side with one target.
func (world *World) startSide(place Place, target setup.Target, handler http.Handler) error {
	name := "side-" + target.Name
	settings, err := world.base(name, place, agatestage.RoleSide)
	if err != nil {
		return err
	}
	if target.Address, err = world.serveHTTP(handler); err != nil {
		return err
	}
	world.targets[target.Name] = target.Address
	settings.Targets = []setup.Target{target}
	var running *side.Side
	app := boot.NewSide(settings, world.clock, []link.Option{link.WithAddressMapping(world.path(place.Region))}, &running)
	host := agatestage.Host{Name: name, Role: agatestage.RoleSide, Region: place.Region, Zone: place.Zone}
	return world.run(app, host, func() netip.AddrPort { return running.Node.Address() })
}

func (world *World) startEntry(wanted Entry) error {
	settings, err := world.base(wanted.Name, wanted.Place, agatestage.RoleEntry)
	if err != nil {
		return err
	}
	settings.Listen.Caller, settings.Listen.Admin = local(wanted.CallerPort), local(wanted.AdminPort)
	settings.DataFolder = filepath.Join(world.folder, wanted.Name, "data")
	settings.Trust.OperatorDigests = []string{world.Operator.Digest}
	if world.spec.Change != nil {
		world.spec.Change(&settings)
	}
	if err = os.MkdirAll(settings.DataFolder, 0o700); err != nil {
		return errors.Wrap(err, "make data folder")
	}
	var running *entry.Entry
	links := []link.Option{link.WithAddressMapping(world.path(wanted.Region))}
	var extra []fx.Option
	if world.spec.Router != nil {
		extra = append(extra, fx.Decorate(func(agatestage.Router) agatestage.Router { return world.spec.Router(wanted.Place) }))
	}
	app := boot.NewEntry(settings, world.clock, links, extra, &running)
	host := agatestage.Host{Name: wanted.Name, Role: agatestage.RoleEntry, Region: wanted.Region, Zone: wanted.Zone}
	err = world.run(app, host, func() netip.AddrPort { return running.Node.Address() })
	world.Entries[wanted.Name] = running
	return err
}

// CallerURL returns the callers' address of an entry.
func (world *World) CallerURL(name string) string {
	return "http://" + world.Entries[name].CallerAddress()
}

// AdminURL returns the operators' address of an entry.
func (world *World) AdminURL(name string) string {
	return "http://" + world.Entries[name].AdminAddress()
}

// TargetURL returns the address of a target itself, without its side.
func (world *World) TargetURL(name string) string {
	return "http://" + world.targets[name].String()
}

// Clock returns the clock that the fleet runs on.
func (world *World) Clock() agatestage.Clock {
	return world.clock
}

// Stop ends the processes' parts in reverse order of their start, and then the
// stand-ins.
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
