package dgcommand

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	"dandeliongap.example/dandeliongap/dgsettings"
	"github.com/google/uuid"
)

// CheckCommand checks a configuration text.
type CheckCommand struct {
	File    string `arg:"" optional:"" help:"Configuration text (INI)." type:"path"`
	Explain string `help:"Print the documentation of one check and exit."`
	JSON    bool   `name:"json" help:"Print one JSON object."`
}

// Help adds an example and the exit codes.
func (CheckCommand) Help() string {
	return "Example: dandeliongap check examples/kelani.ini\n\nExit codes: 0 no fault, 1 faults, 2 wrong command line."
}

// Run prints every fault as FILE:LINE: message, or as JSON. If Explain is set, it
// prints the documentation of that check instead.
func (c *CheckCommand) Run(env *Env) error {
	if c.Explain != "" {
		text, err := dgsettings.Explain(c.Explain)
		if err != nil {
			return err
		}
		_, err = fmt.Fprint(env.Out, text)
		return err
	}
	if c.File == "" {
		return fmt.Errorf("%w: a file or --explain must be given", ErrUsage)
	}
	_, d, err := readDeployment(env, c.File, c.JSON)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, struct {
			Name     string
			Services int
			Faults   []dgsettings.Fault
		}{d.Name, len(d.Services), []dgsettings.Fault{}})
	}
	_, err = fmt.Fprintf(env.Out, "%s: no fault, deployment %s with %d services\n", c.File, d.Name, len(d.Services))
	return err
}

// readDeployment reads and checks a configuration text. If the text has faults, it
// prints them and returns ErrFailed.
func readDeployment(env *Env, file string, asJSON bool) ([]byte, *dandeliongap.Deployment, error) {
	text, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return nil, nil, err
	}
	d, faults := dgsettings.ParseDeployment(file, text)
	if !faults.Any() {
		return text, d, nil
	}
	if asJSON {
		if err := printJSON(env.Out, struct{ Faults []dgsettings.Fault }{faults.List}); err != nil {
			return nil, nil, err
		}
		return nil, nil, ErrFailed
	}
	if _, err := fmt.Fprint(env.Out, faults.String()); err != nil {
		return nil, nil, err
	}
	return nil, nil, ErrFailed
}

// ApplyCommand puts a configuration text in force.
type ApplyCommand struct {
	Connection `embed:""`
	File       string        `arg:"" help:"Configuration text (INI)." type:"path"`
	IfVersion  int64         `name:"if-version" default:"-1" help:"Version that the change is based on; by default the one in force now."`
	Wait       time.Duration `help:"Wait until every VM has it in force, at most this long, and say which have."`
	JSON       bool          `name:"json" help:"Print one JSON object."`
}

// Help adds an example and the exit codes.
func (ApplyCommand) Help() string {
	return "Example: dandeliongap apply --wait 8s --token-file token examples/kelani.ini\n\n" +
		"Exit codes: 0 in force, 1 faults or refused, 3 no answer, 4 another change came first, 5 token wrong."
}

// Run checks the text and, if it has no fault, sends it to the tier.
func (c *ApplyCommand) Run(env *Env) error {
	text, _, err := readDeployment(env, c.File, c.JSON)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	base := dandeliongap.Version(max(c.IfVersion, 0))
	if c.IfVersion < 0 {
		base, err = currentVersion(env.Ctx, client)
		if err != nil {
			return err
		}
	}
	version, err := client.ApplyConfig(env.Ctx, string(text), base, uuid.NewString())
	if err != nil {
		return err
	}
	if c.Wait == 0 {
		return c.printResult(env, version, nil)
	}
	return c.printResult(env, version, waitInForce(env, client, version, c.Wait))
}

// vmVersion is the configuration version that a VM has in force. InForce is set if
// the VM is reachable and the version is at least the applied one.
type vmVersion struct {
	VM      dandeliongap.VMName
	Version dandeliongap.Version
	InForce bool
}

// printResult prints the new version and the state of each VM, and returns ErrFailed
// if a VM does not have the version in force.
func (c *ApplyCommand) printResult(env *Env, version dandeliongap.Version, vms []vmVersion) error {
	behind := 0
	for _, vm := range vms {
		if !vm.InForce {
			behind++
		}
	}
	if c.JSON {
		if err := printJSON(env.Out, struct {
			Version dandeliongap.Version
			VMs     []vmVersion
		}{version, vms}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(env.Out, "accepted as version %d\n", version)
		for _, vm := range vms {
			fmt.Fprintf(env.Out, "%-20s version %d%s\n", vm.VM, vm.Version, map[bool]string{true: "", false: "  not in force"}[vm.InForce])
		}
	}
	if behind > 0 {
		return fmt.Errorf("%d of %d VMs do not have version %d in force: %w", behind, len(vms), version, ErrFailed)
	}
	return nil
}

// currentVersion returns the version in force, or 0 if there is no configuration.
func currentVersion(ctx context.Context, client *dgclient.Client) (dandeliongap.Version, error) {
	_, version, err := client.GetConfig(ctx)
	if isNotFound(err) {
		return 0, nil
	}
	return version, err
}

// waitInForce polls the state of all VMs until each has the version in force or the
// limit has passed, and returns the last state that it read, or nil if there is none.
func waitInForce(env *Env, client *dgclient.Client, version dandeliongap.Version, limit time.Duration) []vmVersion {
	ctx, cancel := context.WithTimeout(env.Ctx, limit)
	defer cancel()
	var vms []vmVersion
	for {
		status, err := readStatus(ctx, client)
		if err == nil {
			vms = vmVersions(status, version)
			if allInForce(vms) {
				return vms
			}
		}
		select {
		case <-ctx.Done():
			return vms
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func vmVersions(s *Status, version dandeliongap.Version) []vmVersion {
	vms := make([]vmVersion, 0, len(s.VMs))
	for _, vm := range s.VMs {
		vms = append(vms, vmVersion{VM: vm.VM, Version: vm.Config, InForce: vm.Reachable && vm.Config >= version})
	}
	return vms
}

func allInForce(vms []vmVersion) bool {
	for _, vm := range vms {
		if !vm.InForce {
			return false
		}
	}
	return len(vms) > 0
}

// ShowCommand prints the configuration in force.
type ShowCommand struct {
	Connection `embed:""`
	JSON       bool `name:"json" help:"Print one JSON object."`
}

// Help adds an example.
func (ShowCommand) Help() string { return "Example: dandeliongap show --token-file token > kelani.ini" }

// Run prints the configuration text, or its version and the text as JSON.
func (c *ShowCommand) Run(env *Env) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	text, version, err := client.GetConfig(env.Ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, struct {
			Version dandeliongap.Version
			Text    string
		}{version, text})
	}
	_, err = fmt.Fprint(env.Out, text)
	return err
}
