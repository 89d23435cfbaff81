package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/conf/plans"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/tool/client"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/trust/keys"
)

// operator holds the flags of all commands that call an entry.
type operator struct {
	Entry string `env:"AGATESTAGE_ENTRY" default:"http://127.0.0.1:8081" help:"URL of an entry's operators' address."`
	Key   string `env:"AGATESTAGE_KEY" required:"" help:"Operator's key; better given by the environment."`
}

func (operator operator) client() *client.Client {
	return client.New(strings.TrimSuffix(operator.Entry, "/"), operator.Key)
}

// printJSON prints a document as indented JSON.
func printJSON(document any) error {
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	fmt.Println(string(data))
	return nil
}

// planCommand submits an intent and prints the plan.
type planCommand struct {
	operator
	File string `arg:"" type:"existingfile" help:"Intent as TOML (or JSON, by its ending)."`
}

// Run implements the command.
func (command *planCommand) Run() error {
	intent, err := readIntent(command.File)
	if err != nil {
		return err
	}
	var plan plans.Plan
	if plan, err = command.client().Plan(context.Background(), intent); err != nil {
		return err
	}
	printPlan(plan)
	return nil
}

// readIntent decodes an intent and rejects unknown fields.
func readIntent(path string) (intent model.Intent, err error) {
	var data []byte
	if data, err = os.ReadFile(path); err != nil {
		return intent, errors.Wrap(err, "read intent")
	}
	if filepath.Ext(path) == ".json" {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		return intent, invalidIntent(path, decoder.Decode(&intent))
	}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return intent, invalidIntent(path, decoder.Decode(&intent))
}

// invalidIntent converts a decoding error to one that names the file, its lines and
// the code of an invalid intent, which sets the exit code.
func invalidIntent(path string, err error) error {
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var lines []string
		for i := range unknown.Errors {
			row, _ := unknown.Errors[i].Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown field", path, row, strings.Join(unknown.Errors[i].Key(), ".")))
		}
		err = errors.New(strings.Join(lines, "\n"))
	case errors.As(err, &malformed):
		row, _ := malformed.Position()
		err = errors.Errorf("%s:%d: %s", path, row, malformed.Error())
	}
	return errors.WithMessage(err, string(agatestage.CodeInvalid))
}

// printPlan prints the steps of a plan and the command that confirms it.
func printPlan(plan plans.Plan) {
	fmt.Printf("Plan on revision %d:\n", plan.Base)
	if len(plan.Steps) == 0 {
		fmt.Println("  nothing changes")
	}
	for _, step := range plan.Steps {
		fmt.Printf("  %-6s %s %s\n", step.Action, step.Kind, step.Name)
		if len(step.Before) > 0 {
			fmt.Printf("    before %s\n", step.Before)
		}
		if len(step.After) > 0 {
			fmt.Printf("    after  %s\n", step.After)
		}
	}
	fmt.Printf("\nNothing happens until you run: agatestage confirm %s\n", plan.Digest)
}

// confirmCommand confirms a plan.
type confirmCommand struct {
	operator
	Digest string `arg:"" help:"Digest of the plan."`
}

// Run implements the command.
func (command *confirmCommand) Run() error {
	confirmed, err := command.client().Confirm(context.Background(), command.Digest)
	if err != nil {
		return err
	}
	fmt.Printf("Revision %d accepted.\n", confirmed.Revision)
	for _, node := range confirmed.Nodes {
		state := "not yet in force"
		if node.InForce {
			state = "in force"
		} else if node.Fenced {
			state = "no contact; rejects requests with keys until contact is restored"
		}
		fmt.Printf("  %-24s %s\n", node.Name, state)
	}
	if confirmed.Everywhere {
		fmt.Println("In force everywhere.")
	}
	return nil
}

// keysCommand groups the commands for keys.
type keysCommand struct {
	List     listKeysCommand    `cmd:"" default:"1" help:"List keys."`
	Create   createKeyCommand   `cmd:"" help:"Make a key, shown once, and print the plan that admits it."`
	Withdraw withdrawKeyCommand `cmd:"" help:"Print the plan that withdraws a key."`
}

// listKeysCommand lists keys.
type listKeysCommand struct {
	operator
}

// Run implements the command.
func (command *listKeysCommand) Run() error {
	var list []admin.ListedKey
	if err := command.client().Call(context.Background(), http.MethodGet, "/keys", nil, &list); err != nil {
		return err
	}
	return printJSON(list)
}

// createKeyCommand creates a key and prints the plan that adds it.
type createKeyCommand struct {
	operator
	Organisation string `arg:"" optional:"" help:"Organisation that the key admits."`
	ForOperator  bool   `help:"Make an operator's key."`
}

// Run implements the command.
func (command *createKeyCommand) Run() error {
	wanted := admin.NewKey{Organisation: command.Organisation, Operator: command.ForOperator}
	created, err := command.client().CreateKey(context.Background(), wanted)
	if err != nil {
		return err
	}
	fmt.Printf("Key %s, shown this once:\n  %s\n", created.ID, created.Key)
	printPlan(created.Plan)
	return nil
}

// withdrawKeyCommand prints the plan that withdraws a key.
type withdrawKeyCommand struct {
	operator
	ID string `arg:"" help:"ID of the key."`
}

// Run implements the command.
func (command *withdrawKeyCommand) Run() error {
	plan, err := command.client().WithdrawKey(context.Background(), command.ID)
	if err != nil {
		return err
	}
	printPlan(plan)
	return nil
}

// orgsCommand lists organisations.
type orgsCommand struct {
	operator
}

// Run implements the command.
func (command *orgsCommand) Run() error {
	var list []model.Organisation
	if err := command.client().Call(context.Background(), http.MethodGet, "/organisations", nil, &list); err != nil {
		return err
	}
	return printJSON(list)
}

// jobsCommand lists batch jobs.
type jobsCommand struct {
	operator
}

// Run implements the command.
func (command *jobsCommand) Run() error {
	var list json.RawMessage
	if err := command.client().Call(context.Background(), http.MethodGet, "/jobs", nil, &list); err != nil {
		return err
	}
	return printJSON(list)
}

// statusCommand prints an entry's view of the fleet.
type statusCommand struct {
	operator
}

// Run implements the command.
func (command *statusCommand) Run() error {
	var status admin.Status
	if err := command.client().Call(context.Background(), http.MethodGet, "/status", nil, &status); err != nil {
		return err
	}
	return printJSON(status)
}

// certsCommand creates the fleet authority and host certificates.
type certsCommand struct {
	Folder string   `arg:"" type:"path" help:"Folder of the fleet authority; made if it has none."`
	Entry  []string `help:"Names of entry hosts to make certificates for."`
	Side   []string `help:"Names of side hosts to make certificates for."`
}

// Run implements the command.
func (command *certsCommand) Run() error {
	clock := agatestage.SystemClock()
	authority, err := certs.ReadAuthority(command.Folder, clock)
	if errors.Is(err, os.ErrNotExist) {
		if authority, err = newAuthority(command.Folder, clock); err != nil {
			return err
		}
	} else if err != nil {
		return err
	}
	roles := map[agatestage.Role][]string{agatestage.RoleEntry: command.Entry, agatestage.RoleSide: command.Side}
	for role, names := range roles {
		for _, name := range names {
			folder := filepath.Join(command.Folder, name)
			if err = authority.Issue(folder, name, role); err != nil {
				return err
			}
			fmt.Printf("%s certificate of %s: copy %s to that host\n", role, name, folder)
		}
	}
	return nil
}

// newAuthority creates the fleet authority and prints the first operator's key.
func newAuthority(folder string, clock agatestage.Clock) (*certs.Authority, error) {
	authority, err := certs.NewAuthority(clock)
	if err != nil {
		return nil, err
	}
	if err = authority.Save(folder); err != nil {
		return nil, err
	}
	key := keys.New()
	fmt.Printf("Fleet authority made in %s; keep it off the hosts.\n", folder)
	fmt.Printf("First operator's key, shown this once:\n  %s\n", key.Secret)
	fmt.Printf("Its digest, for Trust.OperatorDigests of the entries:\n  %s\n", key.Digest)
	return authority, nil
}
