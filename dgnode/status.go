package dgnode

import (
	"context"
	"slices"
	"sort"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
	"dandeliongap.example/dandeliongap/dgwire"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/pool"
)

const (
	// reportTimeout bounds the wait for the reports of the other VMs.
	reportTimeout = 2 * time.Second
	// maxConcurrentReports is the number of VMs that are queried at the same time.
	maxConcurrentReports = 32
)

// statusBody is the answer of GET /v1/status.
type statusBody struct {
	Self     dandeliongap.MemberID
	Zone     dandeliongap.ZoneName
	Serving  bool
	Why      string
	Config   dandeliongap.Version
	ZonesOut []dandeliongap.ZoneName
	Members  []dandeliongap.MemberID
	VMs      []vmStatus
	Services []serviceStatus
}

type vmStatus struct {
	VM        dandeliongap.VMName
	Member    dandeliongap.MemberID
	Zone      dandeliongap.ZoneName
	State     string
	Reachable bool
	Serving   bool
	Why       string
	Config    dandeliongap.Version
	Replicas  int
}

type serviceStatus struct {
	Service  dandeliongap.ServiceName
	Leaves   []dandeliongap.ServiceName // the leaf services, if the service is a group
	Requests int64
	Refused  int64 // not run
	Unknown  int64
	Coverage float64
	P50Ms    float64 // the highest of any VM
	P99Ms    float64 // the highest of any VM
	Replicas []replicaStatus
}

type replicaStatus struct {
	Replica dandeliongap.ReplicaID
	Zone    dandeliongap.ZoneName
	Owner   dandeliongap.VMName
	State   string
	Limit   int32
	Busy    int32
	Queued  int32
	Doing   string
}

// Report implements dgwire.Peer.
func (p *peerService) Report(context.Context, *dgwire.ReportRequest) (*dgwire.ReportReply, error) {
	return p.report(), nil
}

func (p *peerService) report() *dgwire.ReportReply {
	v := p.control.view.Load()
	r := &dgwire.ReportReply{
		Member:  string(v.Self),
		Config:  uint64(v.Config),
		Serving: v.Serving,
		Why:     v.NotServingReason.String(),
	}
	p.gates.mu.RLock()
	held := make(map[dandeliongap.ReplicaID]*gate, len(p.gates.gates))
	for id, g := range p.gates.gates {
		held[id] = g
	}
	p.gates.mu.RUnlock()
	for id, g := range held {
		state, load := g.state()
		if v.Placement[id].Owner != v.Self {
			continue
		}
		r.Replicas = append(r.Replicas, &dgwire.ReplicaReport{
			Replica: string(id),
			State:   state.String(),
			Epoch:   uint64(v.Placement[id].Epoch),
			Mark:    &dgwire.Mark{Limit: int32(load.Limit), Busy: int32(load.Busy), Queued: int32(load.Queued)},
		})
	}
	for name, s := range p.control.stats.lastMinute(p.clock.now()) {
		r.Services = append(r.Services, &dgwire.ServiceReport{
			Service:  string(name),
			Requests: s.Requests,
			Refused:  s.Refused,
			Unknown:  s.Unknown,
			Merged:   s.Merged,
			Total:    s.Total,
			P50Ms:    s.P50Ms,
			P99Ms:    s.P99Ms,
		})
	}
	return r
}

// getStatus collects the reports of all VMs and sums them up.
func (n *Node) getStatus(c fiber.Ctx) error {
	v := n.view.Load()
	body := statusBody{
		Self:    v.Self,
		Zone:    n.settings.Zone,
		Serving: v.Serving,
		Why:     v.NotServingReason.String(),
		Config:  v.Config,
	}
	for zone := range v.ZonesOut {
		body.ZonesOut = append(body.ZonesOut, zone)
	}
	slices.Sort(body.ZonesOut)
	reports := n.reports(v)
	for _, m := range sortedMembers(v) {
		body.Members = append(body.Members, m.ID)
		body.VMs = append(body.VMs, vmStatusOf(m, reports[m.ID]))
	}
	body.Services = servicesOf(v, reports)
	return c.JSON(body)
}

func sortedMembers(v *dandeliongap.View) []dandeliongap.Member {
	members := make([]dandeliongap.Member, 0, len(v.Members))
	for _, m := range v.Members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// reports returns the reports of the VMs that answered within reportTimeout.
func (n *Node) reports(v *dandeliongap.View) map[dandeliongap.MemberID]*dgwire.ReportReply {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	p := pool.NewWithResults[*dgwire.ReportReply]().WithMaxGoroutines(maxConcurrentReports)
	for _, m := range v.Members {
		p.Go(func() *dgwire.ReportReply {
			if m.ID == v.Self {
				return n.peerService.report()
			}
			r, err := n.peers.Peer(m.PeerAddress).Report(ctx, &dgwire.ReportRequest{})
			if err != nil {
				return nil
			}
			return r
		})
	}
	reports := map[dandeliongap.MemberID]*dgwire.ReportReply{}
	for _, r := range p.Wait() {
		if r != nil {
			reports[dandeliongap.MemberID(r.GetMember())] = r
		}
	}
	return reports
}

var memberStates = map[dandeliongap.MemberState]string{
	dandeliongap.MemberJoining: "joining",
	dandeliongap.MemberLive:    "live",
	dandeliongap.MemberLeaving: "leaving",
}

func vmStatusOf(m dandeliongap.Member, r *dgwire.ReportReply) vmStatus {
	return vmStatus{
		VM:        m.VM,
		Member:    m.ID,
		Zone:      m.Zone,
		State:     memberStates[m.State],
		Reachable: r != nil,
		Serving:   r.GetServing(),
		Why:       r.GetWhy(),
		Config:    dandeliongap.Version(r.GetConfig()),
		Replicas:  len(r.GetReplicas()),
	}
}

// servicesOf sums up the reports for each service of the configuration.
func servicesOf(v *dandeliongap.View, reports map[dandeliongap.MemberID]*dgwire.ReportReply) []serviceStatus {
	if v.Deployment == nil {
		return nil
	}
	type sums struct{ merged, total int64 }
	states := map[dandeliongap.ReplicaID]*dgwire.ReplicaReport{}
	services := map[dandeliongap.ServiceName]*serviceStatus{}
	parts := map[dandeliongap.ServiceName]*sums{}
	for _, r := range reports {
		for _, rep := range r.GetReplicas() {
			states[dandeliongap.ReplicaID(rep.GetReplica())] = rep
		}
		for _, s := range r.GetServices() {
			name := dandeliongap.ServiceName(s.GetService())
			if services[name] == nil {
				services[name], parts[name] = &serviceStatus{Service: name}, &sums{}
			}
			sv := services[name]
			sv.Requests += s.GetRequests()
			sv.Refused += s.GetRefused()
			sv.Unknown += s.GetUnknown()
			sv.P50Ms = max(sv.P50Ms, s.GetP50Ms())
			sv.P99Ms = max(sv.P99Ms, s.GetP99Ms())
			parts[name].merged += s.GetMerged()
			parts[name].total += s.GetTotal()
		}
	}
	var out []serviceStatus
	for name, s := range v.Deployment.Services {
		sv := services[name]
		if sv == nil {
			sv, parts[name] = &serviceStatus{Service: name}, &sums{}
		}
		if sum := parts[name]; sum.total > 0 {
			sv.Coverage = float64(sum.merged) / float64(sum.total)
		} else if sv.Requests > sv.Refused+sv.Unknown {
			sv.Coverage = 1
		}
		if s.Kind == dandeliongap.KindGroup {
			sv.Leaves = s.Leaves
		}
		for i := range s.Replicas {
			sv.Replicas = append(sv.Replicas, replicaStatusOf(v, &s.Replicas[i], states[s.Replicas[i].ID]))
		}
		out = append(out, *sv)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// stateDescriptions maps the state of a replica to what the tier does about it.
var stateDescriptions = map[string]string{
	dggate.Cold.String():    "sends no more than the cold limit and raises it with good answers",
	dggate.Ramping.String(): "raises the limit with good answers",
	dggate.Leaving.String(): "sends nothing new",
	dggate.Lost.String():    "uses the other replicas and sends one trial request at a time",
	dggate.NotHeld.String(): "waits until the former owner has released it",
	unknownState:            "uses the other replicas; the owner does not answer or there is none",
}

const unknownState = "unknown"

func replicaStatusOf(v *dandeliongap.View, r *dandeliongap.Replica, rep *dgwire.ReplicaReport) replicaStatus {
	s := replicaStatus{
		Replica: r.ID,
		Zone:    r.Zone,
		Owner:   v.Members[v.Placement[r.ID].Owner].VM,
		State:   unknownState,
	}
	if rep != nil {
		s.State = strings.ToLower(rep.GetState())
		s.Limit, s.Busy, s.Queued = rep.GetMark().GetLimit(), rep.GetMark().GetBusy(), rep.GetMark().GetQueued()
	}
	s.Doing = stateDescriptions[s.State]
	return s
}
