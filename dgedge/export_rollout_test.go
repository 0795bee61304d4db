package dgedge

import (
	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrollout"
)

// EncodeExtended and IsExtended export functions for tests.
var (
	EncodeExtended = encodeExtended
	IsExtended     = isExtended
)

// FullReports exports fullReports for tests.
const FullReports = fullReports

// Reporter is a reporter of a VM.
type Reporter struct {
	reporter
	p packer
}

// Next returns the rows of the next report.
func (r *Reporter) Next(rows []dgrollout.Row) []dgrollout.Row { return r.next(rows) }

// RoundTrip returns rows as another VM receives them.
func (r *Reporter) RoundTrip(rows []dgrollout.Row) ([]dgrollout.Row, error) {
	b, err := r.p.packLong(longForm{Rollouts: []rolloutReport{{Rows: reportRows(rows)}}})
	if err != nil {
		return nil, err
	}
	var u unpacker
	l, err := u.unpackLong(b)
	if err != nil {
		return nil, err
	}
	return l.Rollouts[0].rows(), nil
}

// Size returns the size of the datagram of a report.
func (r *Reporter) Size(vm dandeliongap.VMName, rows []dgrollout.Row) int {
	b, err := r.p.packLong(longForm{Rollouts: []rolloutReport{{VM: vm, Boot: 1767225600000000000, Service: "leka0c", Order: 123456, Rows: reportRows(rows)}}})
	if err != nil {
		panic(err)
	}
	return len(b)
}

// ReportsFrom returns the VMs whose reports are taken in, of those that sent one each.
func ReportsFrom(vms ...dandeliongap.VMName) (out []dandeliongap.VMName) {
	var reports []rolloutReport
	for _, vm := range vms {
		reports = append(reports, rolloutReport{VM: vm})
	}
	for _, r := range validReports(reports) {
		out = append(out, r.VM)
	}
	return out
}
