// Command standin runs a stand-in for a platform service or a target as a process of
// its own, for tests on one machine.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/engine"
	"github.com/agatestage/agatestage/internal/fake/hosts"
	"github.com/agatestage/agatestage/internal/fake/plain"
	"github.com/agatestage/agatestage/internal/fake/store"
)

// commands defines the command line.
type commands struct {
	Store  storeCommand  `cmd:"" help:"Key-value service with leases and watches."`
	Hosts  hostsCommand  `cmd:"" help:"Lagging host list."`
	Engine engineCommand `cmd:"" help:"Model engine with continuous batching."`
	Plain  plainCommand  `cmd:"" help:"Plain order service."`
}

// listen holds the flag for the address on which a stand-in serves.
type listen struct {
	Listen netip.AddrPort `default:"127.0.0.1:0" help:"Loopback address and port."`
}

// serve prints the listening address and serves until SIGINT or SIGTERM.
func (listen listen) serve(handler http.Handler) error {
	if !listen.Listen.Addr().IsLoopback() {
		return errors.New("stand-ins serve on loopback addresses only")
	}
	listener, err := net.Listen("tcp", listen.Listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Println(listener.Addr())
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// storeCommand runs the store.
type storeCommand struct {
	listen
}

// Run implements the command.
func (command *storeCommand) Run() error {
	return command.serve(store.New(agatestage.SystemClock()).Handler())
}

// hostsCommand runs the host list.
type hostsCommand struct {
	listen
	Lag time.Duration `default:"1s" help:"Time until a change shows."`
}

// Run implements the command.
func (command *hostsCommand) Run() error {
	return command.serve(hosts.New(agatestage.SystemClock(), command.Lag).Handler())
}

// engineCommand runs an engine.
type engineCommand struct {
	listen
	Holds   []string      `help:"Models held from the start, as name:version."`
	Batch   int           `default:"32" help:"Sequences that run at once."`
	Step    time.Duration `default:"18ms" help:"Time of one decoding step."`
	Marker  string        `help:"Text that makes the process die when a request holds it."`
	Fencing bool          `help:"Refuse orders with an old fencing number."`
}

// Run implements the command.
func (command *engineCommand) Run() error {
	var holdings []agatestage.Holding
	for _, held := range command.Holds {
		name, version, _ := strings.Cut(held, ":")
		holdings = append(holdings, agatestage.Holding{Model: name, Version: version})
	}
	timing := engine.DefaultTiming()
	timing.Step = command.Step
	options := []engine.Option{engine.WithTiming(timing), engine.WithBatchSize(command.Batch), engine.WithHoldings(holdings...)}
	if command.Marker != "" {
		options = append(options, engine.WithCrashMarker(command.Marker, func() { os.Exit(1) }))
	}
	if command.Fencing {
		options = append(options, engine.WithFencing())
	}
	standIn := engine.New(options...)
	go func() { _ = standIn.Serve(context.Background()) }()
	return command.serve(standIn.Handler())
}

// plainCommand runs the order service.
type plainCommand struct {
	listen
}

// Run implements the command.
func (command *plainCommand) Run() error {
	return command.serve(plain.New(agatestage.SystemClock()).Handler())
}

func main() {
	var commands commands
	context := kong.Parse(&commands, kong.Name("standin"), kong.Description("Stand-ins for the platform and the targets."), kong.UsageOnError())
	context.FatalIfErrorf(context.Run())
}
