package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage/internal/tool/load"
)

// loadCommand runs a load profile and reports the results as callers see them.
type loadCommand struct {
	Profile string            `enum:"lothian,crock" default:"lothian" help:"Deployment and demand: lothian or crock."`
	Scale   float64           `default:"1" help:"Factor for demand and engines, up to 1."`
	Length  time.Duration     `default:"20s" help:"Length of each of the three phases, up to 10m."`
	Seed    uint64            `default:"1" help:"Seed of the arrivals."`
	Entry   []string          `help:"Callers' URLs of running entries on this machine; without them a fleet is started in this process."`
	Key     map[string]string `help:"Key of each organisation at the running entries, as organisation=key."`
	Report  string            `type:"path" help:"File for the report as JSON."`
}

// maxPhaseLength bounds each phase of a run.
const maxPhaseLength = 10 * time.Minute

// Run implements the command.
func (command *loadCommand) Run() error {
	if command.Length <= 0 || command.Length > maxPhaseLength || command.Scale <= 0 || command.Scale > 1 {
		return errors.New("--length must be greater than 0 and at most 10m, --scale greater than 0 and at most 1")
	}
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	report, err := load.Run(ctx, load.Options{
		Profile: load.Profiles()[command.Profile].Scale(command.Scale),
		Length:  command.Length, Seed: command.Seed, Entries: command.Entry, Keys: command.Key, Out: os.Stderr,
	})
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if command.Report == "" {
		return nil
	}
	var data []byte
	if data, err = json.MarshalIndent(report, "", "  "); err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(command.Report, data, 0o644), "write report")
}
