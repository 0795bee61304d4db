package dgcapacity

import (
	"slices"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// differences returns the bytes, in gzip form, of the rows and members that the
// writes of tables and lists added, changed or removed.
func differences(writes []replacedObject) (int, error) {
	sum := 0
	for _, w := range writes {
		body, err := w.difference()
		if err != nil {
			return 0, err
		}
		if body == nil {
			continue
		}
		gz, err := compress(body)
		if err != nil {
			return 0, err
		}
		sum += len(gz)
	}
	return sum, nil
}

// difference returns an object of the same form with the added, changed and
// removed entries only; nil for other objects.
func (w replacedObject) difference() ([]byte, error) {
	switch w.after.Name {
	case dgrelay.Placement:
		before, err := dgrelay.DecodePlacementTable(w.before.Body)
		if err != nil {
			return nil, err
		}
		after, err := dgrelay.DecodePlacementTable(w.after.Body)
		if err != nil {
			return nil, err
		}
		held := map[dandeliongap.ReplicaID]dandeliongap.Placement{}
		for _, p := range before.Rows {
			held[p.Replica] = p
		}
		after.Rows = slices.DeleteFunc(after.Rows, func(p dandeliongap.Placement) bool {
			h, ok := held[p.Replica]
			delete(held, p.Replica)
			return ok && h.Owner == p.Owner && h.Epoch == p.Epoch && slices.Equal(h.Former, p.Former)
		})
		for _, p := range before.Rows {
			if _, gone := held[p.Replica]; gone {
				after.Rows = append(after.Rows, p)
			}
		}
		return dgrelay.EncodePlacementTable(after)
	case dgrelay.Members:
		before, err := dgrelay.DecodeMemberList(w.before.Body)
		if err != nil {
			return nil, err
		}
		after, err := dgrelay.DecodeMemberList(w.after.Body)
		if err != nil {
			return nil, err
		}
		held := map[dandeliongap.MemberID]dandeliongap.Member{}
		for _, m := range before.Members {
			held[m.ID] = m
		}
		after.Members = slices.DeleteFunc(after.Members, func(m dandeliongap.Member) bool {
			h, ok := held[m.ID]
			delete(held, m.ID)
			return ok && h == m
		})
		for _, m := range before.Members {
			if _, gone := held[m.ID]; gone {
				after.Members = append(after.Members, m)
			}
		}
		return dgrelay.EncodeMemberList(after)
	}
	return nil, nil
}
