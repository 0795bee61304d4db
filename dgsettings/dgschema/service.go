package dgschema

import "dandeliongap.example/dandeliongap/dgsettings/dgtext"

// Service is a service section together with the defaults section that its key
// "like" names.
type Service struct {
	Section  *dgtext.Section
	Defaults *dgtext.Section // nil if the key "like" is missing or names no defaults section
}

// Services returns the services of a deployment text, in the order of the text. Of
// several defaults sections with one name, the first applies.
func Services(doc *dgtext.Document) []Service {
	defaults := map[string]*dgtext.Section{}
	for _, section := range doc.SectionsOfKind(SectionDefaults) {
		if defaults[section.Name] == nil {
			defaults[section.Name] = section
		}
	}
	var services []Service
	for _, section := range doc.SectionsOfKind(SectionService) {
		like, _ := section.Key(KeyLike)
		services = append(services, Service{Section: section, Defaults: defaults[like.Value]})
	}
	return services
}

// Key returns the key from the service section or, if it is not there, from the
// defaults section.
func (s Service) Key(name string) (dgtext.Key, bool) {
	if key, ok := s.Section.Key(name); ok || s.Defaults == nil {
		return key, ok
	}
	return s.Defaults.Key(name)
}

// Value returns the parsed value of a key, and the key as Key returns it; false if the
// key is missing or its value is invalid.
func (s Service) Value(name string) (Value, dgtext.Key, bool) {
	key, ok := s.Key(name)
	if !ok {
		return Value{}, key, false
	}
	value, fault := Deployment.Section(SectionService).Key(name).Parse(key.Value)
	return value, key, fault == nil
}

// Replicas returns the keys "replica N", in the order of the text.
func (s Service) Replicas() []dgtext.Key {
	var keys []dgtext.Key
	for _, key := range s.Section.Keys {
		if _, ok := ReplicaOrdinal(key.Name); ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// Depends returns the names that the key "depends" lists.
func (s Service) Depends() []string {
	key, ok := s.Section.Key(KeyDepends)
	if !ok {
		return nil
	}
	return SplitList(key.Value)
}

// IsGroup reports whether the section has the key "depends".
func (s Service) IsGroup() bool {
	_, ok := s.Section.Key(KeyDepends)
	return ok
}

// Zones returns the set of the availability zones that the deployment lists.
func Zones(doc *dgtext.Document) map[string]bool {
	zones := map[string]bool{}
	for _, section := range doc.SectionsOfKind(SectionDeployment) {
		if key, ok := section.Key(KeyZones); ok {
			for _, zone := range SplitList(key.Value) {
				zones[zone] = true
			}
		}
	}
	return zones
}

// ParseReplicaKey returns the parsed value of a key "replica N"; false if it is
// invalid.
func ParseReplicaKey(key dgtext.Key) (ReplicaValue, bool) {
	value, fault := Deployment.Section(SectionService).Key(ReplicaKey).Parse(key.Value)
	return value.Replica, fault == nil
}
