package dgcommand

import (
	"encoding/json"
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings"
	"dandeliongap.example/dandeliongap/dgstandin"
	"dandeliongap.example/dandeliongap/examples"
)

// StandinsCommand runs the stand-ins of the platform and of all backend servers
// of a deployment text, so that daemons can be run against them as separate processes.
type StandinsCommand struct {
	Config   string        `help:"Deployment text; by default the Kelani example." type:"existingfile"`
	Platform string        `default:"127.0.0.1:8000" help:"Address of the platform stand-in, IP:port."`
	Service  time.Duration `default:"3ms" help:"Time of one sub-request at a backend server."`
}

// Help adds an example.
func (StandinsCommand) Help() string {
	return "Example: dandeliongap stand-ins --config examples/kelani.ini\n\n" +
		"Then start daemons with examples/daemon.ini and put the text in force with dandeliongap apply."
}

// Run serves until the command is interrupted, and then prints the counters of the
// backend servers.
func (c *StandinsCommand) Run(env *Env) error {
	text, err := readTextOr(c.Config, dgexamples.Kelani)
	if err != nil {
		return err
	}
	d, faults := dgsettings.ParseDeployment(c.Config, []byte(text))
	if faults.Any() {
		return fmt.Errorf("%w:\n%s", dandeliongap.ErrInvalid, faults)
	}
	platform, err := dgstandin.NewPlatform(dgstandin.PlatformOptions{Address: c.Platform})
	if err != nil {
		return err
	}
	defer platform.Close()
	fleet, err := dgstandin.NewFleet(d, dgstandin.FleetOptions{
		Backend: dgstandin.BackendOptions{ServiceTime: dgstandin.ServiceTime{Base: c.Service}},
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	fmt.Fprintf(env.Out, "platform on %s, %d backend servers; interrupt to stop\n", platform.Address(), len(fleet.Addresses()))
	<-env.Ctx.Done()
	counters, err := json.MarshalIndent(fleet.Counters(), "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Out, "%s\n", counters)
	return err
}
