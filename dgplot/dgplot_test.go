package dgplot_test

import (
	"bytes"
	"errors"
	"image/png"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgplot"
	. "github.com/onsi/gomega"
)

func run(name string, worth float64) dgplot.Run {
	stats := func(label string) dandeliongap.RequestStats {
		return dandeliongap.RequestStats{Name: label, Requests: 10, InTime: 9, Worth: worth, P50: 40 * time.Millisecond, P99: time.Second}
	}
	return dgplot.Run{Name: name, Report: dandeliongap.RunReport{
		Worth: worth, Windows: []dandeliongap.RequestStats{stats("0"), stats("2"), stats("4")}, Routes: []dandeliongap.RequestStats{stats("search"), stats("fetch")},
	}}
}

// draw returns the PNG of the runs.
func draw(g *WithT, runs ...dgplot.Run) []byte {
	var b bytes.Buffer
	g.Expect(dgplot.Draw(&b, runs)).To(Succeed())
	return b.Bytes()
}

// TestDraw guards against output that is no valid PNG, and against a picture that
// differs for equal reports or is the same for different ones.
func TestDraw(t *testing.T) {
	g := NewWithT(t)
	one := draw(g, run("before", 0.8))
	img, err := png.Decode(bytes.NewReader(one))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(img.Bounds().Dx()).To(BeNumerically(">", 500))
	g.Expect(draw(g, run("before", 0.8))).To(Equal(one))
	g.Expect(draw(g, run("before", 0.4))).NotTo(Equal(one))
	g.Expect(draw(g, run("before", 0.8), run("after", 0.9))).NotTo(Equal(one))
}

// TestDrawInvalidAndIdleReports guards against a picture drawn from invalid reports,
// and against a panic on a report without requests.
func TestDrawInvalidAndIdleReports(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	g.Expect(errors.Is(dgplot.Draw(&b, nil), dandeliongap.ErrInvalid)).To(BeTrue())
	bad := run("bad", 1)
	bad.Report.Windows[1].Name = "noon"
	g.Expect(errors.Is(dgplot.Draw(&b, []dgplot.Run{bad}), dandeliongap.ErrInvalid)).To(BeTrue())
	idle := run("idle", 0)
	idle.Report.Routes = nil
	for i := range idle.Report.Windows {
		idle.Report.Windows[i] = dandeliongap.RequestStats{Name: idle.Report.Windows[i].Name}
	}
	g.Expect(dgplot.Draw(&b, []dgplot.Run{idle})).To(Succeed())
}
