package dgcapacity

import "math"

// longestQuery is the p99 latency of queries at the target, in seconds. It is an
// upper limit of the mean.
const longestQuery = 0.3

// at returns the value of a row at a size: the measured one if that size was
// measured, else that of the line.
func (r *Report) at(quantity string, size int) float64 {
	row := r.Row(quantity)
	if row == nil {
		return 0
	}
	for _, p := range row.Points {
		if p.Size == size {
			return p.Value
		}
	}
	return row.Slope*float64(size) + row.Intercept
}

// perItem returns the cost of one item in a message with the given mean number
// of items, between the two smallest messages that were measured.
func (r *Report) perItem(quantity string, items float64) float64 {
	row := r.Row(quantity)
	if row == nil || len(row.Points) < 2 {
		return 0
	}
	a, b := row.Points[0], row.Points[1]
	each := (b.Value - a.Value) / float64(b.Size-a.Size)
	return (a.Value + each*(items-float64(a.Size))) / items
}

// derive works out the load of one VM at the target scale from the rows.
func (r *Report) derive() {
	add := func(quantity, unit string, value float64, from string, budget float64) {
		r.Derived = append(r.Derived, Derived{quantity, unit, value, from, budget})
	}
	queries := float64(TargetQueries) / TargetMembers
	subs := queries * TargetShards
	reached := TargetMembers * (1 - math.Exp(-float64(TargetShards)/TargetMembers))
	items := TargetShards / reached
	messages := subs / items
	add("queries", "1/s", queries, "120,000 / 610", 0)
	add("sub-requests as entry VM, and as many as owner", "1/s", subs, "queries x 650", 0)
	add("VMs that one query reaches", "count", reached, "610 x (1 - e^(-650/610))", 0)
	add("sub-requests in a message", "count", items, "650 / VMs that one query reaches", 0)
	add("Submit calls, and as many Deliver calls", "1/s", messages, "sub-requests / sub-requests in a message", 0)

	cores := func(us float64) float64 { return us * subs / 1e6 }
	decide := r.at("fan-out decisions of one query", TargetShards) / TargetShards
	parse := r.at("parse the body of one sub-answer", hitCount)
	merge := r.at("merge of one query", TargetShards) / TargetShards
	routing := r.at(routingQuantity, 1)
	submit := r.perItem("Submit call of twirp without sockets", items)
	deliver := r.perItem("Deliver call of twirp without sockets", items)
	add("fan-out decisions", "us per sub-request", decide, "row at 650 shards / 650", 0)
	add("parsing of sub-answers", "us per sub-request", parse, "row at 5 hits", 0)
	add("merge", "us per sub-request", merge, "row at 650 shards / 650", 0)
	add("Submit call without sockets, both ends", "us per sub-request", submit, "rows at 1 and 2 items", 0)
	add("Deliver call without sockets, both ends", "us per sub-request", deliver, "rows at 1 and 2 items", 0)
	add("entry VM, without sockets", "us per sub-request", decide+parse+merge+routing+(submit+deliver)/2, "decisions + parsing + merge + routing line + half of both calls", BudgetSubRequest)
	add("fan-out decisions, parsing, merge and routing line", "cores", cores(decide+parse+merge+routing), "us per sub-request x sub-requests", 0)
	add("Submit and Deliver calls without sockets", "cores", cores(submit+deliver), "us per sub-request x sub-requests", 0)
	gate, admission := r.at(gateQuantity, queueLengths[1]), r.at(admissionQuantity, 1)
	add("gate decisions", "us per sub-request", gate, "row at 4 queued", 0)
	add("routing line", "us per sub-request", routing, "row, entry VM", 0)
	add("admission line", "us per sub-request", admission, "row, owner", 0)
	add("gate decisions and admission line of the owner", "cores", cores(gate+admission), "us per sub-request x sub-requests", 0)
	bytes := r.perItem("Submit message", items) + r.perItem("Deliver message", items) + (RequestHeaderBytes+ReplyHeaderBytes)*2/items
	add("Submit and Deliver calls, sent and received", "MB/s", 2*bytes*subs/1e6, "bytes per sub-request and HTTP headers, as entry VM and as owner", 0)

	open := queries * longestQuery
	add("queries in flight, at most", "count", open, "queries x 0.3 s", 0)
	add("memory of queries in flight", "MB", open*r.at("memory of one query in flight", TargetShards)/1e3, "queries in flight x row at 650 shards", 0)
	add("memory of the planner", "MB", r.at("memory of a planner", TargetReplicas)/1e3, "row at 2,500 replicas", 0)
	add("replicas owned", "count", float64(TargetReplicas)/TargetMembers, "2,500 / 610", 0)
	add("memory of control state", "MB", r.at("control state of one VM", TargetReplicas), "row at 2,500 replicas", BudgetMemory)
	r.deriveControl(add)
}

func (r *Report) deriveControl(add func(quantity, unit string, value float64, from string, budget float64)) {
	value := func(quantity string) float64 { return r.at(quantity, TargetMembers) }
	idle := value("idle: control bytes sent and received")
	contacts := 2 * value("idle: of sent: contact vectors")
	headers := 2 * value("idle: of sent: HTTP headers")
	digests := 2 * value("idle: of sent: digests")
	perSecond := func(quantity string, perDay float64) float64 { return 2 * value(quantity) * perDay / secondsPerDay }
	texts := perSecond("a change: of sent: deployment texts", TargetChanges)
	tables := perSecond("a replaced VM: of sent: placement tables", TargetMemberChanges)
	lists := perSecond("a replaced VM: of sent: members", TargetMemberChanges)
	changed := perSecond("a replaced VM: differences of tables and lists, gzip", TargetMemberChanges)
	change := value("a change: bytes sent and received at the target's rate")
	replaced := value("a replaced VM: bytes sent and received at the target's rate")
	total := idle + change + replaced
	add("control traffic, sent and received", "B/s", total, "idle + changes + replaced VMs", BudgetBytes)
	add("control traffic, sent only", "B/s", total/2, "half of it", BudgetBytes)
	add("of it: idle", "B/s", idle, "row at 610 members", 0)
	add("of it: contact vectors while idle", "B/s", contacts, "row at 610 members, sent and received", 0)
	add("of it: HTTP headers while idle", "B/s", headers, "row at 610 members, sent and received", 0)
	add("of it: digests while idle", "B/s", digests, "row at 610 members, sent and received", 0)
	add("of it: changes", "B/s", change, "bytes of a change x 1,800 / 86,400 s", 0)
	add("of it: deployment texts for changes", "B/s", texts, "row at 610 members, sent and received", 0)
	add("of it: replaced VMs", "B/s", replaced, "bytes of a replaced VM x 980 / 86,400 s", 0)
	add("of it: placement tables for replaced VMs", "B/s", tables, "row at 610 members, sent and received", 0)
	add("of it: lists of members for replaced VMs", "B/s", lists, "row at 610 members, sent and received", 0)
	add("differences of tables and lists for replaced VMs", "B/s", changed, "row at 610 members, each sent and received once", 0)
	withDifferences := total - tables - lists + changed
	add("control traffic with these differences", "B/s", withDifferences, "instead of tables and lists", BudgetBytes)
	add("control traffic with these differences and no deployment texts", "B/s", withDifferences-texts, "difference, a lower limit of differences of texts", BudgetBytes)
	add("control traffic with these differences and no digests while idle", "B/s", withDifferences-digests, "difference", BudgetBytes)
	add("control traffic with these differences and half the contact vectors while idle", "B/s", withDifferences-contacts/2, "difference", BudgetBytes)
	add("control traffic with these differences, half the contact vectors and no digests while idle", "B/s", withDifferences-contacts/2-digests, "difference", BudgetBytes)
	add("control traffic with these differences, half the contact vectors while idle and no deployment texts", "B/s", withDifferences-contacts/2-texts, "difference", BudgetBytes)
	add("control processor time", "% of a core", value("all control: processor time"), "row at 610 members", BudgetCore)
	plans := value("a change: processor time of placement plans at the target's rate") +
		value("a replaced VM: processor time of placement plans at the target's rate") + value("idle: processor time of placement plans")
	add("of it: placement plans", "% of a core", plans, "idle + changes + replaced VMs", 0)
	perDay := value("a change: platform calls other than periodic ones")*TargetChanges +
		value("a replaced VM: platform calls other than periodic ones")*TargetMemberChanges
	add("platform calls of all VMs", "1/s", value("idle: platform calls")+perDay/secondsPerDay, "idle + changes + replaced VMs", 0)
}
