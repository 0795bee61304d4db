package dgfanout

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// MaxHits is the number of hits that Merge returns at most.
const MaxHits = 100

// ErrBody reports a sub-answer that is not a whole list of parts.
var ErrBody = errors.New("broken sub-answer")

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

// ParseBody parses the JSON body of a sub-answer. Its error is ErrBody: the text
// is truncated or not JSON, has no list of parts, or a part has no number or
// appears twice.
func ParseBody(b []byte) (Body, error) {
	var raw struct {
		Parts []struct {
			Part *dandeliongap.PartID // nil tells a missing number from part 0
			Hits []Hit
		}
	}
	if err := json.Unmarshal(b, &raw); err != nil {
		return Body{}, fmt.Errorf("%w: %v", ErrBody, err)
	}
	if raw.Parts == nil {
		return Body{}, fmt.Errorf("%w: no list of parts", ErrBody)
	}
	body := Body{Parts: make([]Part, len(raw.Parts))}
	for i, p := range raw.Parts {
		if p.Part == nil {
			return Body{}, fmt.Errorf("%w: part without number", ErrBody)
		}
		body.Parts[i] = Part{Part: *p.Part, Hits: p.Hits}
	}
	if hasDuplicate(body.Parts) {
		return Body{}, fmt.Errorf("%w: part listed twice", ErrBody)
	}
	return body, nil
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
			// The parts usually stand in the same order.
			if k < len(a.Parts) && a.Parts[k] == p.Part || slices.Contains(a.Parts, p.Part) {
				top = mergeHits(top, p.Hits)
			}
		}
	}
	return best(top)
}

// mergeHits appends hits to top and sorts only when the slice has grown to
// twice its limit, which keeps the cost linear in the number of hits.
func mergeHits(top, hits []Hit) []Hit {
	for _, h := range hits {
		top = append(top, h)
		if len(top) == 2*MaxHits {
			top = best(top)
		}
	}
	return top
}

func best(hits []Hit) []Hit {
	slices.SortFunc(hits, func(a, b Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Text, b.Text))
	})
	return hits[:min(len(hits), MaxHits)]
}
