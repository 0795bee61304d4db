package dgsettings

import (
	"slices"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

// buildDeployment converts a document that passed all checks, so it ignores
// parse errors.
func buildDeployment(doc *dgtext.Document) *dandeliongap.Deployment {
	deployment := sectionReader{doc.SectionsOfKind(dgschema.SectionDeployment), dgschema.Deployment}
	d := &dandeliongap.Deployment{
		Name:       deployment.value(dgschema.KeyName).Text,
		HedgeExtra: deployment.value(dgschema.KeyHedgeExtra).Share,
		Services:   map[dandeliongap.ServiceName]*dandeliongap.Service{},
	}
	for _, zone := range deployment.value(dgschema.KeyZones).List {
		d.Zones = append(d.Zones, dandeliongap.ZoneName(zone))
	}
	for _, service := range dgschema.Services(doc) {
		s := buildService(service)
		d.Services[s.Name] = s
	}
	for _, s := range d.Services {
		s.Leaves = reachableLeaves(d, s)
	}
	return d
}

func buildService(service dgschema.Service) *dandeliongap.Service {
	s := &dandeliongap.Service{
		Name:     dandeliongap.ServiceName(service.Section.Name),
		Class:    serviceValue(service, dgschema.KeyClass).Class,
		Deadline: serviceValue(service, dgschema.KeyDeadline).Duration(),
		Partial:  serviceValue(service, dgschema.KeyPartial).Bool,
		Actions:  serviceValue(service, dgschema.KeyActions).Bool,
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
		Slots:       dandeliongap.Slots(serviceValue(service, dgschema.KeySlots).Number),
		Connections: int(serviceValue(service, dgschema.KeyConnections).Number),
		ConnectCost: serviceValue(service, dgschema.KeyConnectCost).Duration(),
		ColdLimit:   dandeliongap.Slots(serviceValue(service, dgschema.KeyColdLimit).Number),
		Leaving:     replica.Leaving,
	}
}

func serviceValue(service dgschema.Service, key string) dgschema.Value {
	v, _, _ := service.Value(key)
	return v
}

// reachableLeaves returns the sorted names of the leaf services that s depends on,
// directly or through groups. For a leaf service it returns only its own name.
func reachableLeaves(d *dandeliongap.Deployment, s *dandeliongap.Service) []dandeliongap.ServiceName {
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

// buildDaemon converts a document that passed all checks.
func buildDaemon(doc *dgtext.Document) Daemon {
	d := DefaultDaemon()
	daemon := sectionReader{doc.SectionsOfKind(dgschema.SectionDaemon), dgschema.Daemon}
	d.VM = dandeliongap.VMName(daemon.value(dgschema.KeyVM).Text)
	d.Zone = dandeliongap.ZoneName(daemon.value(dgschema.KeyZone).Text)
	d.CallerListen = daemon.value(dgschema.KeyCallerListen).Text
	d.PeerListen = daemon.value(dgschema.KeyPeerListen).Text
	d.CallerAnnounce = daemon.textOr(dgschema.KeyCallerAnnounce, d.CallerListen)
	d.PeerAnnounce = daemon.textOr(dgschema.KeyPeerAnnounce, d.PeerListen)
	d.Platform = daemon.value(dgschema.KeyPlatform).Text
	d.Seeds = daemon.value(dgschema.KeySeeds).List
	d.OperatorToken = Token(daemon.value(dgschema.KeyOperatorToken).Text)
	d.LogLevel = daemon.textOr(dgschema.KeyLogLevel, d.LogLevel)
	if v, ok := daemon.find(dgschema.KeyShutdown); ok {
		d.Shutdown = v.Duration()
	}
	if v, ok := daemon.find(dgschema.KeyClockSkew); ok {
		d.ClockSkew = v.Duration()
	}
	limits := sectionReader{doc.SectionsOfKind(dgschema.SectionLimits), dgschema.Daemon}
	limits.setInt(dgschema.KeyBody, &d.Limits.BodyBytes)
	limits.setInt(dgschema.KeyHeaders, &d.Limits.HeaderBytes)
	limits.setInt(dgschema.KeyOpenConnections, &d.Limits.Connections)
	limits.setInt(dgschema.KeyRequests, &d.Limits.Requests)
	return d
}

// sectionReader parses the values of a section that occurs at most once in a text.
type sectionReader struct {
	sections []*dgtext.Section // empty if the text does not have the section
	schema   *dgschema.Schema
}

// find returns the parsed value of a key; false if the key is missing.
func (r sectionReader) find(name string) (dgschema.Value, bool) {
	for _, section := range r.sections {
		if key, ok := section.Key(name); ok {
			v, _ := r.schema.Section(section.Kind).Key(name).Parse(key.Value)
			return v, true
		}
	}
	return dgschema.Value{}, false
}

// value returns the zero Value for a missing key.
func (r sectionReader) value(name string) dgschema.Value {
	v, _ := r.find(name)
	return v
}

func (r sectionReader) textOr(name, fallback string) string {
	if v, ok := r.find(name); ok {
		return v.Text
	}
	return fallback
}

func (r sectionReader) setInt(name string, target *int) {
	if v, ok := r.find(name); ok {
		*target = int(v.Number)
	}
}
