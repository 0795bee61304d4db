package dgcommand

import (
	"fmt"
	"text/tabwriter"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	"github.com/google/uuid"
)

// ZoneCommand holds the commands for one availability zone.
type ZoneCommand struct {
	TakeOut ZoneTakeOutCommand `cmd:"" name:"take-out" help:"Send no new work to the zone."`
	Return  ZoneReturnCommand  `cmd:"" name:"return" help:"Bring the zone back; its backend servers start cold."`
}

// ZoneTakeOutCommand takes a zone out of service.
type ZoneTakeOutCommand struct {
	Connection `embed:""`
	Name       dandeliongap.ZoneName `arg:"" help:"Availability zone."`
}

// Help adds an example.
func (ZoneTakeOutCommand) Help() string {
	return "Example: dandeliongap zone take-out zone-b --token-file token"
}

// Run takes the zone out of service.
func (c *ZoneTakeOutCommand) Run(env *Env) error { return setZone(env, &c.Connection, c.Name, true) }

// ZoneReturnCommand returns a zone to service.
type ZoneReturnCommand struct {
	Connection `embed:""`
	Name       dandeliongap.ZoneName `arg:"" help:"Availability zone."`
}

// Help adds an example.
func (ZoneReturnCommand) Help() string {
	return "Example: dandeliongap zone return zone-b --token-file token"
}

// Run returns the zone to service.
func (c *ZoneReturnCommand) Run(env *Env) error { return setZone(env, &c.Connection, c.Name, false) }

// setZone takes a zone out of service if out is set, and returns it otherwise.
func setZone(env *Env, conn *Connection, name dandeliongap.ZoneName, out bool) error {
	client, err := conn.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.SetZoneOut(env.Ctx, name, out); err != nil {
		return err
	}
	state := "in service"
	if out {
		state = "taken out"
	}
	_, err = fmt.Fprintf(env.Out, "zone %s is %s\n", name, state)
	return err
}

// SearchCommand runs one search.
type SearchCommand struct {
	Connection  `embed:""`
	Service     dandeliongap.ServiceName `arg:"" help:"Service to search."`
	Query       string                   `arg:"" help:"Query, passed to the backend servers."`
	Class       string                   `enum:",urgent,ordinary,archive" default:"" help:"urgent, ordinary or archive; by default the service's own."`
	Deadline    time.Duration            `help:"Time limit; by default the service's own."`
	MinCoverage float64                  `help:"Lowest coverage to accept, 0 to 1."`
	JSON        bool                     `name:"json" help:"Print one JSON object."`
}

// Help adds an example and the exit codes.
func (SearchCommand) Help() string {
	return "Example: dandeliongap search order-search \"sleepers Kandy\" --class urgent\n\n" +
		"Exit codes: 0 answered, 1 refused as not run, 3 unknown."
}

// Run prints the hits. The JSON object is printed even if the search was not answered.
func (c *SearchCommand) Run(env *Env) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	r, err := client.Search(env.Ctx, dgclient.SearchRequest{
		Service:     c.Service,
		Query:       c.Query,
		Class:       c.Class,
		Deadline:    c.Deadline,
		MinCoverage: c.MinCoverage,
	})
	if c.JSON {
		if printErr := printJSON(env.Out, struct {
			dgclient.SearchResult
			Outcome string // replaces the embedded Outcome, which is encoded as a number
		}{r, r.Outcome.String()}); printErr != nil {
			return printErr
		}
		return err
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%s: coverage %.2f%% (%d of %d parts), index version %d, from %s\n",
		r.Outcome, 100*r.Coverage, r.Merged, r.Total, r.IndexVersion, r.Address)
	w := tabwriter.NewWriter(env.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SCORE\tID\tTEXT")
	for _, h := range r.Hits {
		fmt.Fprintf(w, "%.3f\t%s\t%s\n", h.Score, h.ID, h.Text)
	}
	return w.Flush()
}

// ActCommand runs one action: a request that may not be repeated.
type ActCommand struct {
	Connection `embed:""`
	Service    dandeliongap.ServiceName `arg:"" help:"Service that accepts actions."`
	Body       string                   `arg:"" help:"Request, passed to one backend server."`
	Key        string                   `help:"Idempotency key; a repeat with the same key does not run again. By default a new one, which is printed."`
	Deadline   time.Duration            `help:"Time limit; by default the service's own."`
	JSON       bool                     `name:"json" help:"Print one JSON object."`
}

// Help adds an example and the exit codes.
func (ActCommand) Help() string {
	return "Example: dandeliongap act quarry-dispatch \"40 sleepers to Galle\" --key order-1981\n\n" +
		"Exit codes: 0 answered, 1 refused as not run, 3 unknown (repeat with the same key to learn the outcome), 4 the key was used with another request."
}

// Run prints the key with the answer or the refusal. The JSON object does not contain
// the key.
func (c *ActCommand) Run(env *Env) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if c.Key == "" {
		c.Key = uuid.NewString()
	}
	r, err := client.Act(env.Ctx, dgclient.ActionRequest{
		Service:  c.Service,
		Key:      dandeliongap.IdempotencyKey(c.Key),
		Body:     c.Body,
		Deadline: c.Deadline,
	})
	if c.JSON {
		if printErr := printJSON(env.Out, struct {
			dgclient.ActionResult
			Outcome string // replaces the embedded Outcome, which is encoded as a number
		}{r, r.Outcome.String()}); printErr != nil {
			return printErr
		}
		return err
	}
	fmt.Fprintf(env.Out, "key %s: %s %s%s\n", c.Key, r.Outcome, r.Reason, r.Body)
	return err
}
