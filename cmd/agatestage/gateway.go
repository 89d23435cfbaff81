package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/logs"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/gate/start"
	"github.com/agatestage/agatestage/platform"
)

// gatewayCommand runs a gateway.
type gatewayCommand struct {
	Settings string `arg:"" type:"existingfile" help:"TOML settings file."`
}

// Run implements the command.
func (command *gatewayCommand) Run() error {
	settings, err := setup.Read(command.Settings, agatestage.RoleGateway)
	if err != nil {
		return err
	}
	defer logs.Install(os.Stdout, agatestage.SystemClock()).Close()
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	gateway := start.New(settings, platform.New(settings), agatestage.SystemClock())
	go func() {
		for range reload {
			changed, readErr := setup.Read(command.Settings, agatestage.RoleGateway)
			if readErr != nil {
				klog.ErrorS(readErr, "changed settings are not valid; the previous ones stay in force")
				continue
			}
			gateway.Reload(changed)
		}
	}()
	return gateway.Run(ctx)
}
