package dgrelay

import (
	"dandeliongap.example/dandeliongap"
)

// objectNames is the order of the objects in a Set, in digests and in messages: small
// objects on which others depend come first.
var objectNames = [...]dandeliongap.ObjectName{Zones, Members, Placement, Catalog, Deployment}

// objectIndex returns the position of name in objectNames, or -1.
func objectIndex(name dandeliongap.ObjectName) int {
	for i, n := range objectNames {
		if n == name {
			return i
		}
	}
	return -1
}

// Set holds the newest known version of each relayed object. The zero value is
// empty and ready to use.
type Set struct {
	objects [len(objectNames)]dandeliongap.Object
	adopted [len(objectNames)]dandeliongap.Instant
}

// Adopt stores obj if it is a relayed object with a higher version than the one held
// (C1), and reports whether it did. The set retains the body, which must not be
// modified afterwards.
func (s *Set) Adopt(now dandeliongap.Instant, obj dandeliongap.Object) bool {
	i := objectIndex(obj.Name)
	if i < 0 || obj.Version <= s.objects[i].Version {
		return false
	}
	if obj.Deleted {
		obj.Body = nil
	}
	s.objects[i] = obj
	s.adopted[i] = now
	return true
}

// AdoptListing stores the result of a listing of the kind "state" at the given version
// of the collection, and returns the names of the objects that changed. A held object
// that is missing from the listing was deleted at or before that version. Its deletion
// is stored with that version, because the exact one is not known.
func (s *Set) AdoptListing(now dandeliongap.Instant, objs []dandeliongap.Object, version dandeliongap.Version) []dandeliongap.ObjectName {
	var changed []dandeliongap.ObjectName
	var listed [len(objectNames)]bool
	for _, o := range objs {
		if i := objectIndex(o.Name); i >= 0 {
			listed[i] = true
		}
		if s.Adopt(now, o) {
			changed = append(changed, o.Name)
		}
	}
	for i, name := range objectNames {
		o := &s.objects[i]
		if listed[i] || o.Version == 0 || o.Deleted {
			continue
		}
		if s.Adopt(now, dandeliongap.Object{Name: name, Version: version, Deleted: true}) {
			changed = append(changed, name)
		}
	}
	return changed
}

// Get returns the held version of an object, which may be a deletion, and whether
// one is held.
func (s *Set) Get(name dandeliongap.ObjectName) (dandeliongap.Object, bool) {
	i := objectIndex(name)
	if i < 0 || s.objects[i].Version == 0 {
		return dandeliongap.Object{}, false
	}
	return s.objects[i], true
}

// AdoptedAt returns when the held version of an object was adopted, and whether one
// is held.
func (s *Set) AdoptedAt(name dandeliongap.ObjectName) (dandeliongap.Instant, bool) {
	i := objectIndex(name)
	if i < 0 || s.objects[i].Version == 0 {
		return 0, false
	}
	return s.adopted[i], true
}

// Digest returns the name and version of each object held.
func (s *Set) Digest() []ObjectVersion {
	d := make([]ObjectVersion, 0, len(objectNames))
	for _, o := range s.objects {
		if o.Version > 0 {
			d = append(d, ObjectVersion{Name: o.Name, Version: o.Version})
		}
	}
	return d
}

// Behind reports whether the digest has a newer version of any object than the set.
// A VM that receives such a digest in a request starts an exchange with the sender.
func (s *Set) Behind(digest []ObjectVersion) bool {
	for _, v := range digest {
		if i := objectIndex(v.Name); i >= 0 && v.Version > s.objects[i].Version {
			return true
		}
	}
	return false
}

// NewerThan returns the held objects that are newer than in the digest, with bodies
// of at most limit bytes in total, but at least one object if there is any. The
// others go with later messages. MessageBodyLimit is the usual limit.
func (s *Set) NewerThan(digest []ObjectVersion, limit int) []dandeliongap.Object {
	var peerVersions [len(objectNames)]dandeliongap.Version
	for _, v := range digest {
		if i := objectIndex(v.Name); i >= 0 {
			peerVersions[i] = max(peerVersions[i], v.Version)
		}
	}
	var newer []dandeliongap.Object
	size := 0
	for i, o := range s.objects {
		if o.Version <= peerVersions[i] {
			continue
		}
		if size += len(o.Body); size > limit && len(newer) > 0 {
			size -= len(o.Body)
			continue
		}
		newer = append(newer, o)
	}
	return newer
}
