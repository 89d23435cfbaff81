package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/conf/lint"
	"github.com/agatestage/agatestage/internal/gate/start"
	"github.com/agatestage/agatestage/platform"
)

const (
	// maxConfigBytes bounds what is read of a file or a gateway, so that a wrong path, such as a
	// device, ends the check.
	maxConfigBytes = 64 << 20
	// gatewayTimeout bounds the request to a gateway.
	gatewayTimeout = 5 * time.Second
)

// errFindings is the error of a check with findings, which have been printed.
var errFindings = errors.New("the configuration has findings")

// unreadableError is the error of a file or gateway that can't be read.
type unreadableError struct{ error }

// Unwrap returns the cause.
func (unreadableError *unreadableError) Unwrap() error { return unreadableError.error }

// checkCommand checks a settings file or a configuration.
type checkCommand struct {
	Role    string `enum:"entry,side,gateway,keeper," default:"" help:"Role that settings are for: entry, side, gateway or keeper. A configuration needs none."`
	Against string `help:"Configuration to compare with: a file, or the address (host:port) of the metrics or readiness listener of a running gateway."`
	JSON    bool   `name:"json" help:"Print the findings and differences of a configuration as JSON."`
	File    string `arg:"" help:"Settings (TOML) or configuration (JSON)."`
}

// Run implements the command.
func (command *checkCommand) Run() error { return command.run(os.Stdout) }

func (command *checkCommand) run(writer io.Writer) error {
	data, err := readLimited(command.File)
	if err != nil {
		return err
	}
	if isConfiguration(data) {
		return command.checkConfiguration(writer, data)
	}
	return command.checkSettings(writer, data)
}

// isConfiguration reports whether a file is a configuration, as JSON, and not settings, as TOML. No
// TOML document begins with a brace. One that is valid JSON holds nothing but the header of a
// table.
func isConfiguration(data []byte) bool {
	text := bytes.TrimSpace(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf")))
	return bytes.HasPrefix(text, []byte("{")) || json.Valid(text)
}

// readLimited reads a file of at most maxConfigBytes.
func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &unreadableError{err}
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxConfigBytes+1))
	switch {
	case err != nil:
		return nil, &unreadableError{err}
	case len(data) > maxConfigBytes:
		return nil, &unreadableError{errors.Errorf("%s is larger than %d bytes", path, maxConfigBytes)}
	}
	return data, nil
}

// checkSettings checks a settings file.
func (command *checkCommand) checkSettings(writer io.Writer, data []byte) error {
	role, ok := map[string]agatestage.Role{
		"entry": agatestage.RoleEntry, "side": agatestage.RoleSide, "gateway": agatestage.RoleGateway, "keeper": agatestage.RoleKeeper,
	}[command.Role]
	switch {
	case !ok:
		return &unreadableError{errors.Errorf("%s is no configuration (JSON that begins with a brace); settings need --role", command.File)}
	case command.Against != "" || command.JSON:
		return &unreadableError{errors.Errorf("%s is no configuration; --against and --json are for those", command.File)}
	}
	if _, err := setup.Parse(command.File, data, role); err != nil {
		return err
	}
	_, err := fmt.Fprintf(writer, "%s: valid settings of %s\n", command.File, command.Role)
	return err
}

// checkConfiguration checks a configuration. What it is compared with may be unreadable; the
// findings are printed all the same.
func (command *checkCommand) checkConfiguration(writer io.Writer, data []byte) error {
	var fleet lint.Fleet
	var before lint.Source
	var againstErr error
	if command.Against != "" {
		before, fleet, againstErr = readAgainst(command.Against)
	}
	checked := platform.CheckConfig(data, fleet)
	report := &lint.Report{File: command.File, Version: checked.Content.Version}
	if command.Against != "" && againstErr == nil && checked.Decoded {
		report.SetDifferences(command.Against, lint.Compare(before, checked.Source))
		// Only a gateway says what is in force; a file may be any other version.
		if fleet.InForce && len(report.Differences) > 0 && checked.Content.Version <= before.Content.Version {
			checked.Findings.Add(lint.Finding{Rule: lint.RuleVersion, Place: lint.Place{Kind: lint.KindConfiguration, Field: lint.FieldVersion},
				Message: fmt.Sprintf("version %d isn't higher than version %d, which is in force, so that gateways ignore it", checked.Content.Version, before.Content.Version)})
		}
	}
	report.Findings, report.Omitted = checked.Located(), checked.Findings.Omitted()
	if err := command.write(writer, report); err != nil {
		return err
	}
	if againstErr != nil {
		return againstErr
	}
	if len(report.Findings) > 0 {
		return errFindings
	}
	return nil
}

// write writes a report.
func (command *checkCommand) write(writer io.Writer, report *lint.Report) error {
	if !command.JSON {
		return report.Write(writer)
	}
	if report.Findings == nil {
		report.Findings = []lint.Located{}
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// readAgainst returns the configuration of a file or of a running gateway, and what the gateway
// knows of its fleet.
func readAgainst(against string) (source lint.Source, fleet lint.Fleet, err error) {
	var data []byte
	if _, statErr := os.Stat(against); statErr == nil {
		data, err = readLimited(against)
	} else if address, ok := gatewayURL(against); ok {
		var shown start.ShownConfig
		if shown, err = askGateway(address); err == nil {
			data, fleet = shown.Configuration, lint.Fleet{InForce: true, Regions: shown.Regions, Targets: shown.Targets}
		}
	} else {
		err = &unreadableError{statErr}
	}
	if err != nil {
		return source, fleet, err
	}
	if source, err = platform.DecodeShown(data); err != nil {
		return source, fleet, &unreadableError{errors.Wrapf(err, "%s can't be decoded", against)}
	}
	return source, fleet, nil
}

// gatewayURL returns the URL at which a gateway shows its configuration.
func gatewayURL(against string) (string, bool) {
	if !strings.Contains(against, "://") {
		against = "http://" + against
	}
	address, err := url.Parse(against)
	if err != nil || address.Scheme != "http" {
		return "", false
	}
	if _, _, err = net.SplitHostPort(address.Host); err != nil {
		return "", false
	}
	return "http://" + address.Host + start.ConfigPath, true
}

// askGateway reads what a gateway shows.
func askGateway(address string) (shown start.ShownConfig, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), gatewayTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return shown, &unreadableError{err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return shown, &unreadableError{err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxConfigBytes))
	if err != nil {
		return shown, &unreadableError{err}
	}
	if response.StatusCode != http.StatusOK {
		return shown, &unreadableError{errors.Errorf("%s answered with status %d", address, response.StatusCode)}
	}
	if err = json.Unmarshal(data, &shown); err != nil {
		return shown, &unreadableError{errors.Wrapf(err, "%s shows no configuration", address)}
	}
	return shown, nil
}
