// Command agatestage runs the roles of the serving system and provides the operators'
// commands and tools.
//
// Exit codes: 0 success; 1 the command failed; 2 usage error; 3 a settings file or an
// intent is not valid; 4 a plan is stale. Of a check of a configuration: 0 no findings; 1
// findings; 2 it can't be read.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/tool/boot"
	"github.com/agatestage/agatestage/internal/tool/demo"
)

// Exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitInvalid = 3
	exitStale   = 4
)

// commands defines the command line.
type commands struct {
	Entry   entryCommand   `cmd:"" help:"Run an entry: it faces callers and operators."`
	Side    sideCommand    `cmd:"" help:"Run a side: the only path to the targets of its host."`
	Gateway gatewayCommand `cmd:"" help:"Run a gateway: an entry on a platform that lists its targets itself."`
	Keeper  keeperCommand  `cmd:"" help:"Run a keeper: it answers for the machines with disks on such a platform."`
	Check   checkCommand   `cmd:"" help:"Check a settings file or a configuration, and print every fault."`
	Certs   certsCommand   `cmd:"" help:"Make the fleet authority, host certificates and the first operator key."`
	Plan    planCommand    `cmd:"" help:"State an intent and print the plan of what it would change."`
	Confirm confirmCommand `cmd:"" help:"Confirm a plan by its digest."`
	Keys    keysCommand    `cmd:"" help:"List, create and withdraw keys."`
	Orgs    orgsCommand    `cmd:"" help:"List organisations."`
	Jobs    jobsCommand    `cmd:"" help:"List batch jobs."`
	Status  statusCommand  `cmd:"" help:"Print an entry's view of the fleet."`
	Load    loadCommand    `cmd:"" help:"Offer an open-loop load and report what callers see."`
	Explain explainCommand `cmd:"" help:"Gather what the logs of several processes tell of one request, item or job."`
	Burn    burnCommand    `cmd:"" help:"Report the burn of error budgets, per organisation and route."`
	Demo    demoCommand    `cmd:"" help:"Run the whole path in one process on embedded stand-ins."`

	Verbosity int `short:"v" default:"0" help:"Log verbosity; 1 tells of failed exchanges, 2 of every silence."`
}

// entryCommand runs an entry.
type entryCommand struct {
	Settings string `arg:"" type:"existingfile" help:"TOML settings file."`
}

// Run implements the command.
func (command *entryCommand) Run() error {
	settings, err := setup.Read(command.Settings, agatestage.RoleEntry)
	if err != nil {
		return err
	}
	return boot.Run(boot.NewEntry(settings, agatestage.SystemClock(), nil, nil))
}

// sideCommand runs a side.
type sideCommand struct {
	Settings string `arg:"" type:"existingfile" help:"TOML settings file."`
}

// Run implements the command.
func (command *sideCommand) Run() error {
	settings, err := setup.Read(command.Settings, agatestage.RoleSide)
	if err != nil {
		return err
	}
	return boot.Run(boot.NewSide(settings, agatestage.SystemClock(), nil))
}

// demoCommand runs the demo.
type demoCommand struct {
	Once bool `help:"End after the last step instead of staying up."`
}

// Run implements the command.
func (command *demoCommand) Run() error {
	return demo.Run(os.Stdout, command.Once)
}

func main() {
	var commands commands
	parser := kong.Must(&commands,
		kong.Name("agatestage"),
		kong.Description("A serving system for online and batch inference on one fleet.\n\nExit codes: 0 success, 1 failure, 2 usage error, 3 invalid settings or intent, 4 stale plan. A check of a configuration: 0 clean, 1 findings, 2 can't be read."),
		kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}),
	)
	context, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	setVerbosity(commands.Verbosity)
	err = context.Run()
	klog.Flush()
	if err != nil {
		if !errors.Is(err, errFindings) {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitCode(err))
	}
}

// setVerbosity sets the verbosity of klog.
func setVerbosity(level int) {
	var verbosity klog.Level
	// Set fails only on text that isn't a number.
	_ = verbosity.Set(fmt.Sprint(level))
}

// exitCode returns the documented exit code of an error.
func exitCode(err error) int {
	var faults setup.Faults
	var unreadable *unreadableError
	switch {
	case errors.As(err, &unreadable):
		return exitUsage
	case errors.As(err, &faults), strings.HasPrefix(err.Error(), string(agatestage.CodeInvalid)):
		return exitInvalid
	case strings.HasPrefix(err.Error(), string(agatestage.CodeStalePlan)):
		return exitStale
	}
	return exitFailed
}
