package dgcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
)

// Status is the part of GET /v1/status that the command prints.
type Status struct {
	Self     dandeliongap.MemberID
	Serving  bool
	Why      string
	Config   dandeliongap.Version
	ZonesOut []dandeliongap.ZoneName
	VMs      []VMStatus
	Services []ServiceStatus
}

// VMStatus is the state of one VM of the tier.
type VMStatus struct {
	VM        dandeliongap.VMName
	Zone      dandeliongap.ZoneName
	State     string
	Reachable bool
	Serving   bool
	Config    dandeliongap.Version
	Replicas  int
}

// ServiceStatus is the state of one service, aggregated over all VMs that answered.
type ServiceStatus struct {
	Service  dandeliongap.ServiceName
	Leaves   []dandeliongap.ServiceName // leaf services; only for a group
	Requests int64
	Refused  int64 // not run
	Unknown  int64
	Coverage float64
	P50Ms    float64 // the highest of any VM
	P99Ms    float64 // the highest of any VM
	Replicas []ReplicaStatus
}

// ReplicaStatus is the state of one replica, as reported by the VM that owns it.
type ReplicaStatus struct {
	Replica dandeliongap.ReplicaID
	Zone    dandeliongap.ZoneName
	Owner   dandeliongap.VMName
	State   string
	Limit   int
	Busy    int
	Queued  int
	Doing   string // what the tier does about the state
}

// StatusCommand shows the state of the tier.
type StatusCommand struct {
	Connection `embed:""`
	JSON       bool `name:"json" help:"Print one JSON object."`
	All        bool `help:"Show every leaf service and every replica."`
}

// Help adds an example.
func (StatusCommand) Help() string { return "Example: dandeliongap status --token-file token --all" }

// Run prints the tables.
func (c *StatusCommand) Run(env *Env) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if c.JSON {
		s, err := client.Status(env.Ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.Out, "%s\n", s.Raw)
		return err
	}
	s, err := readStatus(env.Ctx, client)
	if err != nil {
		return err
	}
	return s.print(env.Out, c.All)
}

func readStatus(ctx context.Context, client *dgclient.Client) (*Status, error) {
	raw, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	var s Status
	if err := json.Unmarshal(raw.Raw, &s); err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return &s, nil
}

func isNotFound(err error) bool { return errors.Is(err, dandeliongap.ErrNotFound) }

func (s *Status) print(out io.Writer, all bool) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "configuration\tversion %d\tzones out\t%v\n\n", s.Config, s.ZonesOut)
	fmt.Fprintln(w, "VM\tZONE\tSTATE\tREACHABLE\tSERVING\tCONFIG\tREPLICAS")
	for _, vm := range s.VMs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%d\t%d\n", vm.VM, vm.Zone, vm.State, vm.Reachable, vm.Serving, vm.Config, vm.Replicas)
	}
	fmt.Fprintln(w, "\nSERVICE\tREQUESTS/MIN\tREFUSED\tUNKNOWN\tCOVERAGE\tP50 MS\tP99 MS\tREPLICAS")
	for _, sv := range s.summary(all) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%.1f\t%.1f\t%s\n",
			sv.Service, sv.Requests, sv.Refused, sv.Unknown, sv.coverage(), sv.P50Ms, sv.P99Ms, sv.replicaStates())
	}
	if !all {
		s.printUnusual(w)
		return w.Flush()
	}
	printReplicas(w, s.Services)
	return w.Flush()
}

// summary returns the services to print: every service if all is set. Otherwise it
// omits the leaves of groups and adds their replicas to the group.
func (s *Status) summary(all bool) []ServiceStatus {
	if all {
		return s.Services
	}
	byName := map[dandeliongap.ServiceName]*ServiceStatus{}
	grouped := map[dandeliongap.ServiceName]bool{}
	for i := range s.Services {
		byName[s.Services[i].Service] = &s.Services[i]
		for _, leaf := range s.Services[i].Leaves {
			grouped[leaf] = true
		}
	}
	var shown []ServiceStatus
	for _, sv := range s.Services {
		if grouped[sv.Service] {
			continue
		}
		for _, leaf := range sv.Leaves {
			if found := byName[leaf]; found != nil {
				sv.Replicas = append(sv.Replicas, found.Replicas...)
			}
		}
		shown = append(shown, sv)
	}
	return shown
}

// coverage formats the coverage, or returns a dash if no request was answered.
func (sv *ServiceStatus) coverage() string {
	if sv.Requests <= sv.Refused+sv.Unknown {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*sv.Coverage)
}

// maxUnusual bounds the replicas that printUnusual lists.
const maxUnusual = 20

// printUnusual lists, up to maxUnusual, the replicas that are neither warm nor about
// to become warm (ramping or cold).
func (s *Status) printUnusual(w io.Writer) {
	usual := map[string]bool{"warm": true, "ramping": true, "cold": true}
	var unusual []ServiceStatus
	shown, total := 0, 0
	for _, sv := range s.Services {
		entry := ServiceStatus{Service: sv.Service}
		for _, r := range sv.Replicas {
			if usual[r.State] {
				continue
			}
			total++
			if shown < maxUnusual {
				shown++
				entry.Replicas = append(entry.Replicas, r)
			}
		}
		unusual = append(unusual, entry)
	}
	if total == 0 {
		return
	}
	printReplicas(w, unusual)
	if total > shown {
		fmt.Fprintf(w, "and %d more; --all shows each replica\n", total-shown)
	}
}

func printReplicas(w io.Writer, services []ServiceStatus) {
	fmt.Fprintln(w, "\nREPLICA\tZONE\tOWNER\tSTATE\tLIMIT\tBUSY\tQUEUED\tDOING")
	for _, sv := range services {
		for _, r := range sv.Replicas {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.Replica, r.Zone, r.Owner, r.State, r.Limit, r.Busy, r.Queued, r.Doing)
		}
	}
}

// replicaStates formats the number of replicas in each state, in a fixed order.
func (sv *ServiceStatus) replicaStates() string {
	counts := map[string]int{}
	for _, r := range sv.Replicas {
		counts[r.State]++
	}
	text := ""
	for _, state := range []string{"warm", "ramping", "cold", "leaving", "lost", "not held", "unknown"} {
		if counts[state] > 0 {
			text += fmt.Sprintf("%d %s ", counts[state], state)
		}
	}
	return text
}
