package dgedge

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
	"dandeliongap.example/dandeliongap/dgrollout"
)

const (
	// reportTicks is the number of heartbeat intervals between two reports.
	reportTicks = int(dgrollout.TickInterval / dgpresence.HeartbeatInterval)
	// fullReports is the number of reports of which one has all counts. The others have those
	// that changed, so that the leading VM receives less than 5 KB/s.
	fullReports = 6
	// leaderTicks is the number of heartbeat intervals between two heartbeats to the leading VM
	// in the stage All, besides those that dgpresence selects.
	leaderTicks = 4
	// extendedFor is the time after a change of an order or a state in which all heartbeats
	// are extended, and extendedTicks the number of heartbeats of which one is later.
	extendedFor   = 10 * time.Second
	extendedTicks = 16
)

// rolloutReport is a message about a rollout: the counts of a VM for the leading VM or, with
// Verdict, its verdict for a VM that sent counts.
type rolloutReport struct {
	VM      dandeliongap.VMName
	Boot    int64
	Service dandeliongap.ServiceName
	Order   dandeliongap.Version
	Bad     bool        `json:",omitempty"` // the sender has found that the target is bad
	Verdict bool        `json:",omitempty"`
	Rows    []reportRow `json:",omitempty"`
	// State is what the sender knows of an order from an earlier era of the store, while the
	// store has another state (dgrollout X18).
	State *dgrollout.State `json:",omitempty"`
}

// reportRow is a row in the form in which it is sent, a JSON array: the names of its fields
// would take most of a report.
type reportRow dgrollout.Row

// MarshalJSON implements json.Marshaler.
func (r reportRow) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Route, r.Replica, r.Zone, uint8(r.Stage), r.New, r.Responses, r.Failures, r.Timed, r.Slow})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *reportRow) UnmarshalJSON(text []byte) error {
	fields := []any{&r.Route, &r.Replica, &r.Zone, (*uint8)(&r.Stage), &r.New, &r.Responses, &r.Failures, &r.Timed, &r.Slow}
	n := len(fields)
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	if len(fields) != n {
		return fmt.Errorf("row with %d fields, want %d: %w", len(fields), n, dandeliongap.ErrInvalid)
	}
	return nil
}

func reportRows(rows []dgrollout.Row) []reportRow {
	out := make([]reportRow, len(rows))
	for i, r := range rows {
		out[i] = reportRow(r)
	}
	return out
}

func (r *rolloutReport) rows() []dgrollout.Row {
	out := make([]dgrollout.Row, len(r.Rows))
	for i, row := range r.Rows {
		out[i] = dgrollout.Row(row)
	}
	return out
}

// reporter decides which counts of a service are sent. The zero value has sent none.
type reporter struct {
	sent    map[dgrollout.Key]dgrollout.Counts
	full    bool // all counts were sent since the last change
	reports int
	sources map[netip.AddrPort]bool // VMs that sent counts here
}

// reset makes the next report a full one, for another leading VM.
func (r *reporter) reset() { r.sent, r.full, r.reports = nil, false, 0 }

// next returns the rows of the next report; none if there is nothing to send.
func (r *reporter) next(rows []dgrollout.Row) (out []dgrollout.Row) {
	if r.sent == nil {
		r.sent = make(map[dgrollout.Key]dgrollout.Counts)
	}
	for _, row := range rows {
		if r.sent[row.Key] != row.Counts {
			r.sent[row.Key] = row.Counts
			out = append(out, row)
		}
	}
	r.full = r.full && len(out) == 0
	r.reports++
	if r.reports%fullReports == 1 && !r.full {
		r.full = true
		return rows
	}
	return out
}

// reportEvidence sends the counts of a rollout to the leading VM, if there are new ones.
func (c *control) reportEvidence(name dandeliongap.ServiceName, en *rolloutEntry) {
	m, known := c.members[c.rollouts.leader]
	if !known || c.rollouts.leader == c.e.opt.Settings.VM || c.ticks%reportTicks != 0 {
		return
	}
	c.e.mu.Lock()
	v, rows := c.e.rollouts.View(name), c.e.rollouts.Rows(name)
	c.e.mu.Unlock()
	rows = en.reporter.next(rows)
	addr, err := netip.ParseAddrPort(m.Gossip)
	r := rolloutReport{VM: c.e.opt.Settings.VM, Boot: c.e.boot, Service: name, Order: v.ID, Bad: v.Bad, Rows: reportRows(rows)}
	if v.ID.Era() < v.Order.Version.Era() && (en.state.Order != v.ID || en.state.Stage < v.Stage) {
		r.State = &dgrollout.State{Order: v.ID, Target: v.Order.Target, Duration: v.Order.Duration, Stage: v.Stage}
	}
	if err != nil || len(rows) == 0 && !v.Bad && r.State == nil {
		return
	}
	c.sendReport(r, addr)
	c.e.stats.add("RolloutReportsSent")
}

// sendVerdict tells the VMs that sent counts that the target is bad. It reaches them while the
// store takes no writes, too.
func (c *control) sendVerdict(name dandeliongap.ServiceName, order dandeliongap.Version, en *rolloutEntry) {
	if c.ticks%reportTicks != 0 {
		return
	}
	for _, addr := range slices.SortedFunc(maps.Keys(en.reporter.sources), netip.AddrPort.Compare) {
		c.sendReport(rolloutReport{VM: c.e.opt.Settings.VM, Boot: c.e.boot, Service: name, Order: order, Verdict: true}, addr)
	}
}

func (c *control) sendReport(r rolloutReport, to netip.AddrPort) {
	datagram, err := c.packer.packLong(longForm{Rollouts: []rolloutReport{r}})
	if err != nil {
		c.e.log.event("cannot encode report").Err(err).Send()
		return
	}
	c.sendDatagram(datagram, to)
}

// applyReports takes in the reports of another VM.
func (c *control) applyReports(g gossip) {
	if c.e.rollouts == nil {
		return
	}
	for _, r := range g.reports {
		en := c.rollouts.entries[r.Service]
		if en == nil || !en.admitted {
			continue
		}
		c.e.mu.Lock()
		recalled := r.State != nil && !r.Verdict && c.e.rollouts.Recall(c.e.now(), r.Service, *r.State)
		v := c.e.rollouts.View(r.Service)
		c.e.mu.Unlock()
		if recalled {
			c.e.log.event("rollout recalled").Str("Rule", "X18").Str("Service", string(r.Service)).Str("From", clip(string(r.VM))).
				Uint64("Order", uint64(v.ID)).Stringer("Stage", v.Stage).Send()
		}
		if v.ID != r.Order {
			continue
		}
		if r.Verdict {
			c.e.mu.Lock()
			first := c.e.rollouts.SetBad(r.Service, r.Order)
			c.e.mu.Unlock()
			if first {
				c.e.log.event("rollout target bad").Str("Rule", "X9").Str("Service", string(r.Service)).Str("By", clip(string(r.VM))).Send()
			}
			continue
		}
		if !v.Open {
			continue
		}
		if en.lead == nil {
			en.lead = dgrollout.NewLead(v.Since, v.Order, c.e.rollouts.Limits())
		}
		c.e.stats.add("RolloutReportsReceived")
		en.lead.Receive(r.VM, r.Boot, r.rows(), r.Bad)
		if en.reporter.sources == nil {
			en.reporter.sources = make(map[netip.AddrPort]bool)
		}
		if len(en.reporter.sources) < maxReportSources {
			en.reporter.sources[g.from] = true
		}
	}
}

// maxReportSources limits the VMs that get a verdict. Few VMs serve callers.
const maxReportSources = 1024

// encodeFor encodes a message in the form that a VM reads. Heartbeats are extended while a
// rollout is open and for a while after a change, and rarely otherwise: the versions would
// take the traffic of a hub in a tier of 610 VMs above 5 KB/s.
func (c *control) encodeFor(m dandeliongap.EdgeMember, msg dgpresence.Message) []byte {
	r := &c.rollouts
	quiet := !r.open && c.e.now().Sub(r.changedAt) > extendedFor && c.ticks%extendedTicks != 0
	if c.e.rollouts == nil || !m.Rollouts || quiet && msg.Kind == dgpresence.Beat {
		return encodeShort(msg)
	}
	return encodeExtended(msg)
}

// withLeader adds the leading VM to the hubs that get a heartbeat, in the stages in which it
// waits for what this hub uses (X11).
func (c *control) withLeader(peers []dandeliongap.EdgeMember) []dandeliongap.EdgeMember {
	leader := c.rollouts.leader
	m, known := c.members[leader]
	if c.e.rollouts == nil || !known || leader == c.e.opt.Settings.VM || c.ticks%leaderTicks != 0 ||
		slices.ContainsFunc(peers, func(p dandeliongap.EdgeMember) bool { return p.VM == leader }) {
		return peers
	}
	for _, en := range c.rollouts.entries {
		if en.state.Stage == dgrollout.All && en.state.Target == en.order.Target {
			m.VM = leader
			return append(peers, m)
		}
	}
	return peers
}
