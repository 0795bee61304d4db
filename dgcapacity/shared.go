package dgcapacity

import (
	"bytes"
	"compress/gzip"
	"io"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgplacement"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// objectKey identifies the content of one relayed object.
type objectKey struct {
	name    dandeliongap.ObjectName
	version dandeliongap.Version
}

// shared holds the results of work that every VM does on the same bytes (S3).
type shared struct {
	decoded    map[objectKey]any
	compressed map[objectKey][]byte
	plans      map[planKey]plan
}

func newShared() *shared {
	return &shared{decoded: map[objectKey]any{}, compressed: map[objectKey][]byte{}, plans: map[planKey]plan{}}
}

// work counts, over all VMs, the work that is charged by its time for one run.
type work struct {
	parse, decodeTable, decodeList       int
	compressDeployment, expandDeployment int
	compressTable, expandTable           int
	compressList, expandList             int
	publish, plan                        int
}

func (w work) minus(o work) work {
	w.parse -= o.parse
	w.decodeTable -= o.decodeTable
	w.decodeList -= o.decodeList
	w.compressDeployment -= o.compressDeployment
	w.expandDeployment -= o.expandDeployment
	w.compressTable -= o.compressTable
	w.expandTable -= o.expandTable
	w.compressList -= o.compressList
	w.expandList -= o.expandList
	w.publish -= o.publish
	w.plan -= o.plan
	return w
}

// countCompress counts one compression of an object.
func (w *work) countCompress(name dandeliongap.ObjectName) {
	switch name {
	case dgrelay.Deployment:
		w.compressDeployment++
	case dgrelay.Placement:
		w.compressTable++
	case dgrelay.Members:
		w.compressList++
	}
}

// countExpand counts one decompression of an object.
func (w *work) countExpand(name dandeliongap.ObjectName) {
	switch name {
	case dgrelay.Deployment:
		w.expandDeployment++
	case dgrelay.Placement:
		w.expandTable++
	case dgrelay.Members:
		w.expandList++
	}
}

// decode returns the content of an object; objects that cannot be decoded have
// none.
func (c *cluster) decode(obj dandeliongap.Object) (any, error) {
	key := objectKey{obj.Name, obj.Version}
	var v any
	var err error
	known, ok := c.shared.decoded[key]
	switch obj.Name {
	case dgrelay.Deployment:
		c.work.parse++
		if !ok {
			v, err = parseDeployment(obj.Body)
		}
	case dgrelay.Placement:
		c.work.decodeTable++
		if !ok {
			v, err = dgrelay.DecodePlacementTable(obj.Body)
		}
	case dgrelay.Members:
		c.work.decodeList++
		if !ok {
			v, err = dgrelay.DecodeMemberList(obj.Body)
		}
	}
	if ok {
		return known, nil
	}
	if err == nil {
		c.shared.decoded[key] = v
	}
	return v, err
}

// compress returns the body of an object in gzip form.
func (c *cluster) compress(obj dandeliongap.Object) ([]byte, error) {
	c.work.countCompress(obj.Name)
	key := objectKey{obj.Name, obj.Version}
	if b, ok := c.shared.compressed[key]; ok {
		return b, nil
	}
	b, err := compress(obj.Body)
	if err == nil {
		c.shared.compressed[key] = b
	}
	return b, err
}

// compress does what dgnode does for each object that it sends.
func compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func expand(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(r)
}

// planKey identifies the input of a plan. Rows that moved lately depend on the
// time, so that plans shortly after a change are made anew.
type planKey struct {
	config, members, table, zones dandeliongap.Version
	bucket                        dandeliongap.Instant
}

type plan struct {
	rows      []dandeliongap.Placement
	decisions int
}

// plan returns the next table for the state of one VM.
func (c *cluster) plan(n *node, in dgplacement.Input) plan {
	c.work.plan++
	key := planKey{in.ConfigVersion, in.MembersVersion, in.TableVersion, n.version(dgrelay.Zones), -1}
	if at, ok := n.set.AdoptedAt(dgrelay.Placement); ok && c.now.Sub(at) <= 2*dgplacement.MinMoveInterval {
		key.bucket = c.now / dandeliongap.Instant(planEvery)
	}
	p, ok := c.shared.plans[key]
	if !ok {
		rows, decisions := dgplacement.Plan(c.now, in)
		p = plan{rows: rows, decisions: len(decisions)}
		c.shared.plans[key] = p
	}
	return p
}
