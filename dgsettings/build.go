package dgsettings

import (
	"slices"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

// buildDeployment converts a document without faults.
func buildDeployment(doc *dgtext.Document) *dandeliongap.Deployment {
	top := reader{doc.SectionsOfKind(dgschema.SectionDeployment), dgschema.Deployment}
	d := &dandeliongap.Deployment{
		Name:       top.value(dgschema.KeyName).Text,
		HedgeExtra: top.value(dgschema.KeyHedgeExtra).Share,
		Services:   map[dandeliongap.ServiceName]*dandeliongap.Service{},
	}
	for _, zone := range top.value(dgschema.KeyZones).List {
		d.Zones = append(d.Zones, dandeliongap.ZoneName(zone))
	}
	for _, service := range dgschema.Services(doc) {
		s := buildService(service)
		d.Services[s.Name] = s
	}
	for _, s := range d.Services {
		s.Leaves = leaves(d, s)
	}
	return d
}

func buildService(service dgschema.Service) *dandeliongap.Service {
	s := &dandeliongap.Service{
		Name:     dandeliongap.ServiceName(service.Section.Name),
		Class:    value(service, dgschema.KeyClass).Class,
		Deadline: value(service, dgschema.KeyDeadline).Duration(),
		Partial:  value(service, dgschema.KeyPartial).Bool,
		Actions:  value(service, dgschema.KeyActions).Bool,
	}
	if service.IsGroup() {
		s.Kind = dandeliongap.KindGroup
		for _, name := range service.Depends() {
			s.Depends = append(s.Depends, dandeliongap.ServiceName(name))
		}
		return s
	}
	for _, key := range service.Replicas() {
		s.Replicas = append(s.Replicas, buildReplica(service, key))
	}
	return s
}

func buildReplica(service dgschema.Service, key dgtext.Key) dandeliongap.Replica {
	ordinal, _ := dgschema.ReplicaOrdinal(key.Name)
	replica, _ := dgschema.ParseReplicaKey(key)
	name := service.Section.Name
	return dandeliongap.Replica{
		ID:          dandeliongap.ReplicaID(name + "/" + ordinal),
		Service:     dandeliongap.ServiceName(name),
		Address:     replica.Address,
		Zone:        dandeliongap.ZoneName(replica.Zone),
		Slots:       dandeliongap.Slots(value(service, dgschema.KeySlots).Number),
		Connections: int(value(service, dgschema.KeyConnections).Number),
		ConnectCost: value(service, dgschema.KeyConnectCost).Duration(),
		ColdLimit:   dandeliongap.Slots(value(service, dgschema.KeyColdLimit).Number),
		Leaving:     replica.Leaving,
	}
}

func value(service dgschema.Service, key string) dgschema.Value {
	v, _, _ := service.Value(key)
	return v
}

// leaves returns the leaf services that s reaches, each once, sorted; s itself
// for a leaf.
func leaves(d *dandeliongap.Deployment, s *dandeliongap.Service) []dandeliongap.ServiceName {
	var found []dandeliongap.ServiceName
	seen := map[dandeliongap.ServiceName]bool{s.Name: true}
	queue := []dandeliongap.ServiceName{s.Name}
	for len(queue) > 0 {
		next := d.Services[queue[0]]
		queue = queue[1:]
		if next.Kind == dandeliongap.KindLeaf {
			found = append(found, next.Name)
		}
		for _, name := range next.Depends {
			if !seen[name] {
				seen[name] = true
				queue = append(queue, name)
			}
		}
	}
	slices.Sort(found)
	return found
}

// buildDaemon converts a document without faults.
func buildDaemon(doc *dgtext.Document) Daemon {
	d := DefaultDaemon()
	top := reader{doc.SectionsOfKind(dgschema.SectionDaemon), dgschema.Daemon}
	d.VM = dandeliongap.VMName(top.value(dgschema.KeyVM).Text)
	d.Zone = dandeliongap.ZoneName(top.value(dgschema.KeyZone).Text)
	d.CallerListen = top.value(dgschema.KeyCallerListen).Text
	d.PeerListen = top.value(dgschema.KeyPeerListen).Text
	d.CallerAnnounce = top.text(dgschema.KeyCallerAnnounce, d.CallerListen)
	d.PeerAnnounce = top.text(dgschema.KeyPeerAnnounce, d.PeerListen)
	d.Platform = top.value(dgschema.KeyPlatform).Text
	d.Seeds = top.value(dgschema.KeySeeds).List
	d.OperatorToken = Token(top.value(dgschema.KeyOperatorToken).Text)
	d.LogLevel = top.text(dgschema.KeyLogLevel, d.LogLevel)
	if v, ok := top.find(dgschema.KeyShutdown); ok {
		d.Shutdown = v.Duration()
	}
	if v, ok := top.find(dgschema.KeyClockSkew); ok {
		d.ClockSkew = v.Duration()
	}
	limits := reader{doc.SectionsOfKind(dgschema.SectionLimits), dgschema.Daemon}
	limits.number(dgschema.KeyBody, &d.Limits.BodyBytes)
	limits.number(dgschema.KeyHeaders, &d.Limits.HeaderBytes)
	limits.number(dgschema.KeyOpenConnections, &d.Limits.Connections)
	limits.number(dgschema.KeyRequests, &d.Limits.Requests)
	return d
}

// reader reads values of a section that a text has at most once.
type reader struct {
	sections []*dgtext.Section
	schema   *dgschema.Schema
}

func (r reader) find(name string) (dgschema.Value, bool) {
	for _, section := range r.sections {
		if key, ok := section.Key(name); ok {
			v, _ := r.schema.Section(section.Kind).Key(name).Parse(key.Value)
			return v, true
		}
	}
	return dgschema.Value{}, false
}

func (r reader) value(name string) dgschema.Value {
	v, _ := r.find(name)
	return v
}

func (r reader) text(name, otherwise string) string {
	if v, ok := r.find(name); ok {
		return v.Text
	}
	return otherwise
}

func (r reader) number(name string, into *int) {
	if v, ok := r.find(name); ok {
		*into = int(v.Number)
	}
}
