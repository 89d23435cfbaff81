// Package boot builds an entry or a side as an fx application and runs it until it
// is interrupted.
package boot

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	entry "github.com/agatestage/agatestage/internal/entry/start"
	side "github.com/agatestage/agatestage/internal/side/start"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// stopMargin is added to the drain's time limits to give the time-out of a stop.
const stopMargin = 20 * time.Second

// NewEntry returns the application of an entry with extra options. It sets targets,
// which are pointers, to the values that the application provides, like fx.Populate.
func NewEntry(settings setup.Settings, clock agatestage.Clock, links []link.Option, extra []fx.Option, targets ...any) *fx.App {
	return newApp(settings, clock, links, fx.Options(append(extra, entry.Module)...), targets)
}

// NewSide returns the application of a side; targets are as for NewEntry.
func NewSide(settings setup.Settings, clock agatestage.Clock, links []link.Option, targets ...any) *fx.App {
	return newApp(settings, clock, links, side.Module, targets)
}

func newApp(settings setup.Settings, clock agatestage.Clock, links []link.Option, module fx.Option, targets []any) *fx.App {
	options := []fx.Option{
		fx.Supply(settings),
		fx.Provide(func() []link.Option { return links }),
		fx.Provide(func() agatestage.Clock { return clock }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(settings.Drain.Notice.Duration + settings.Drain.Limit.Duration + stopMargin),
		module,
	}
	if len(targets) > 0 {
		options = append(options, fx.Populate(targets...))
	}
	return fx.New(options...)
}

// Run starts the application, waits for SIGINT or SIGTERM and stops it.
func Run(app *fx.App) error {
	if err := app.Err(); err != nil {
		return err
	}
	interrupted, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	<-interrupted.Done()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return app.Stop(stop)
}
