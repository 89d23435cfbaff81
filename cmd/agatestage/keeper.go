package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/logs"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/gate/keeper"
	"github.com/agatestage/agatestage/platform"
)

// keeperCommand runs a keeper.
type keeperCommand struct {
	Settings string `arg:"" type:"existingfile" help:"TOML settings file."`
}

// Run implements the command.
func (command *keeperCommand) Run() error {
	settings, err := setup.Read(command.Settings, agatestage.RoleKeeper)
	if err != nil {
		return err
	}
	defer logs.Install(os.Stdout, agatestage.SystemClock()).Close()
	// A keeper has no settings to reload, but SIGHUP must not terminate it.
	signal.Ignore(syscall.SIGHUP)
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	klog.InfoS("keeper starts", "name", settings.Name, "zone", settings.Zone)
	err = keeper.New(platform.New(settings).Store(), agatestage.SystemClock(), platform.Orders{}).Serve(ctx)
	klog.InfoS("keeper stops")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
