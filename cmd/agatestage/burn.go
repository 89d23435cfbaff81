package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/tool/burn"
	"github.com/agatestage/agatestage/internal/tool/client"
)

// burnCommand reports the burn rates of error budgets.
type burnCommand struct {
	Metrics []string      `required:"" help:"URLs of the entries' metrics addresses."`
	History string        `type:"path" default:"agatestage-burn.jsonl" help:"File that keeps the samples between runs."`
	Watch   time.Duration `help:"Keep sampling for this long before reporting."`
	Every   time.Duration `default:"10s" help:"Time between samples with --watch."`
	JSON    bool          `help:"Print JSON instead of a table."`
	HTML    string        `type:"path" help:"File for a self-contained page with plots."`
	Entry   string        `env:"AGATESTAGE_ENTRY" help:"URL of an entry's operators' address, to read the organisations' rates."`
	Key     string        `env:"AGATESTAGE_KEY" help:"Operator's key for --entry."`
}

// Run implements the command.
func (command *burnCommand) Run() error {
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	organisations, err := command.organisations(ctx)
	if err != nil {
		return err
	}
	var samples []burn.Sample
	for end := time.Now().Add(command.Watch); ; {
		var sample burn.Sample
		if sample, err = burn.Scrape(ctx, command.Metrics, time.Now()); err != nil {
			return err
		}
		if samples, err = burn.AppendHistory(command.History, sample); err != nil {
			return err
		}
		if time.Now().Add(command.Every).After(end) || ctx.Err() != nil {
			break
		}
		timer := time.NewTimer(command.Every)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return command.write(burn.NewReport(samples, organisations))
}

// organisations reads the organisations and their rates, which are needed to tell
// wrongful refusals from correct ones.
func (command *burnCommand) organisations(ctx context.Context) (list []model.Organisation, err error) {
	if command.Entry == "" {
		fmt.Fprintln(os.Stderr, "rates are not known without --entry: no refusal is counted as wrongful")
		return nil, nil
	}
	err = client.New(command.Entry, command.Key).Call(ctx, http.MethodGet, "/organisations", nil, &list)
	return list, err
}

func (command *burnCommand) write(report burn.Report) error {
	if command.HTML != "" {
		file, err := os.Create(command.HTML)
		if err != nil {
			return errors.Wrap(err, "write page")
		}
		defer file.Close()
		if err = report.HTML(file); err != nil {
			return errors.Wrap(err, "write page")
		}
	}
	if !command.JSON {
		report.Print(os.Stdout)
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	fmt.Println(string(data))
	return nil
}
