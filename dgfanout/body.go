package dgfanout

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"dandeliongap.example/dandeliongap"
	"github.com/valyala/fastjson"
)

// MaxHits is the largest number of hits that Merge returns.
const MaxHits = 100

// ErrInvalidBody reports a sub-answer that is not a complete list of parts.
var ErrInvalidBody = errors.New("invalid sub-answer")

// Hit is one search result.
type Hit struct {
	ID    string `json:"Id"`
	Score float64
	Text  string
}

// Part holds the hits of one part of the index.
type Part struct {
	Part dandeliongap.PartID
	Hits []Hit
}

// Body is the answer of one shard.
type Body struct {
	Parts []Part
}

// parsers holds parsers whose memory can be reused. fastjson is used because
// encoding/json takes half of the CPU budget of a sub-request for a small body.
var parsers fastjson.ParserPool

// ParseBody parses the JSON body of a sub-answer. Its error wraps ErrInvalidBody if the
// text is truncated or not JSON, has no list of parts, a part has no number or
// appears twice, the hits of a part are not a list, a hit is not an object, its score
// is not a finite number, or its id or text is not a string.
func ParseBody(b []byte) (Body, error) {
	p := parsers.Get()
	defer parsers.Put(p)
	v, err := p.ParseBytes(b)
	if err != nil {
		return Body{}, fmt.Errorf("%w: %v", ErrInvalidBody, err)
	}
	list := v.Get("Parts")
	if list == nil || list.Type() != fastjson.TypeArray {
		return Body{}, fmt.Errorf("%w: Parts is missing or not a list", ErrInvalidBody)
	}
	parts := list.GetArray()
	body := Body{Parts: make([]Part, len(parts))}
	for i, p := range parts {
		if body.Parts[i], err = parsePart(p); err != nil {
			return Body{}, err
		}
	}
	if hasDuplicate(body.Parts) {
		return Body{}, fmt.Errorf("%w: part listed twice", ErrInvalidBody)
	}
	return body, nil
}

func parsePart(v *fastjson.Value) (Part, error) {
	number := v.Get("Part")
	if number == nil {
		return Part{}, fmt.Errorf("%w: part has no number", ErrInvalidBody)
	}
	n, err := number.Uint()
	if err != nil || n > math.MaxUint32 {
		return Part{}, fmt.Errorf("%w: part number is not an unsigned 32-bit integer", ErrInvalidBody)
	}
	hits := v.Get("Hits")
	if hits == nil || hits.Type() == fastjson.TypeNull {
		return Part{Part: dandeliongap.PartID(n)}, nil
	}
	list, err := hits.Array()
	if err != nil {
		return Part{}, fmt.Errorf("%w: part %d: hits are not a list", ErrInvalidBody, n)
	}
	part := Part{Part: dandeliongap.PartID(n), Hits: make([]Hit, len(list))}
	for i, h := range list {
		if part.Hits[i], err = parseHit(h); err != nil {
			return Part{}, err
		}
	}
	return part, nil
}

func parseHit(v *fastjson.Value) (Hit, error) {
	if v.Type() != fastjson.TypeObject {
		return Hit{}, fmt.Errorf("%w: hit is not an object", ErrInvalidBody)
	}
	hit := Hit{}
	if score := v.Get("Score"); score != nil {
		f, err := score.Float64()
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			return Hit{}, fmt.Errorf("%w: hit score is not a finite number", ErrInvalidBody)
		}
		hit.Score = f
	}
	var err error
	if hit.ID, err = parseText(v.Get("Id")); err != nil {
		return Hit{}, err
	}
	hit.Text, err = parseText(v.Get("Text"))
	return hit, err
}

// parseText returns a copy of a string value with invalid UTF-8 replaced, or the
// empty string if v is nil.
func parseText(v *fastjson.Value) (string, error) {
	if v == nil {
		return "", nil
	}
	b, err := v.StringBytes()
	if err != nil {
		return "", fmt.Errorf("%w: hit field is not a string", ErrInvalidBody)
	}
	return strings.ToValidUTF8(string(b), "\uFFFD"), nil
}

func hasDuplicate(parts []Part) bool {
	ascending := true
	for i := 1; i < len(parts) && ascending; i++ {
		ascending = parts[i-1].Part < parts[i].Part
	}
	if ascending {
		return false
	}
	ids := make([]dandeliongap.PartID, len(parts))
	for i, p := range parts {
		ids[i] = p.Part
	}
	slices.Sort(ids)
	return len(slices.Compact(ids)) < len(parts)
}

// Merge returns the hits with the highest scores of all merged parts, highest
// first and at most MaxHits. Equal scores are ordered by id.
func Merge(accepted []Accepted) []Hit {
	var top []Hit
	for i := range accepted {
		a := &accepted[i]
		for k, p := range a.Body.Parts {
			// Both usually list the parts in the same order, which avoids the search.
			if k < len(a.Parts) && a.Parts[k] == p.Part || slices.Contains(a.Parts, p.Part) {
				top = mergeHits(top, p.Hits)
			}
		}
	}
	return topHits(top)
}

// mergeHits appends hits to top. It sorts and truncates only when the slice has
// grown to twice its limit, which keeps the cost linear in the number of hits.
func mergeHits(top, hits []Hit) []Hit {
	for _, h := range hits {
		top = append(top, h)
		if len(top) == 2*MaxHits {
			top = topHits(top)
		}
	}
	return top
}

// topHits sorts hits and returns the first MaxHits.
func topHits(hits []Hit) []Hit {
	slices.SortFunc(hits, func(a, b Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Text, b.Text))
	})
	return hits[:min(len(hits), MaxHits)]
}
