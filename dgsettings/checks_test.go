package dgsettings_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

// parseAny parses a deployment text or the settings of a daemon and returns the
// faults. It fails the test if the result has both a value and faults, or neither.
func parseAny(name string, text []byte) dgsettings.Faults {
	if bytes.Contains(text, []byte("[daemon]")) {
		d, faults := dgsettings.ParseDaemon(name, text)
		Expect(d.VM == "").To(Equal(faults.Any()), "the result must have either settings or faults")
		return faults
	}
	d, faults := dgsettings.ParseDeployment(name, text)
	Expect(d == nil).To(Equal(faults.Any()), "the result must have either a Deployment or faults")
	return faults
}

// formatWithChecks formats faults as in the golden files, with the names of checks.
func formatWithChecks(faults dgsettings.Faults) []byte {
	var b bytes.Buffer
	for _, f := range faults.List {
		fmt.Fprintf(&b, "%s:%d: %s: %s\n", faults.File, f.Line, f.Check, f.Message)
	}
	return b.Bytes()
}

func checkNames(faults dgsettings.Faults) []string {
	var names []string
	for _, f := range faults.List {
		names = append(names, f.Check)
	}
	return names
}

var _ = Describe("the checks", func() {
	// Guards against a fault that is missed, reported on the wrong line, or hidden
	// by another fault. "go test ./dgsettings -update" writes the golden files.
	for _, check := range dgsettings.Checks() {
		dir := "dg" + check.Name + "/testdata"
		texts, _ := filepath.Glob(dir + "/*.ini")
		for _, path := range texts {
			It("report the faults of "+path, func() {
				text, err := os.ReadFile(path)
				Expect(err).NotTo(HaveOccurred())
				faults := parseAny(filepath.Base(path), text)
				Expect(checkNames(faults)).To(ContainElement(check.Name))
				name := strings.TrimSuffix(filepath.Base(path), ".ini")
				goldie.New(GinkgoTB(), goldie.WithFixtureDir(dir)).Assert(GinkgoTB(), name, formatWithChecks(faults))
			})
		}
	}

	// Guards against a check without documentation, and against an example in the
	// documentation that does not have the fault. The example of "size" is a
	// description instead of a text.
	It("each have documentation and an example with the fault", func() {
		for _, check := range dgsettings.Checks() {
			Expect(check.Title).NotTo(BeEmpty(), check.Name)
			Expect(check.Text).NotTo(BeEmpty(), check.Name)
			Expect(check.Since).NotTo(BeEmpty(), check.Name)
			text, err := dgsettings.Explain(check.Name)
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(HavePrefix(check.Name + ": " + check.Title))
			if check.Name != "size" {
				Expect(checkNames(parseAny("example", []byte(check.Example)))).To(ContainElement(check.Name))
			}
		}
	})

	// Guards against control characters of an example that reach the terminal.
	It("are explained without control characters", func() {
		text, err := dgsettings.Explain("encoding")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).NotTo(ContainSubstring("\x00"))
	})

	// Guards against an error for an unknown name that callers cannot distinguish from
	// other errors.
	It("are listed in the error for an unknown name", func() {
		_, err := dgsettings.Explain("cycles")
		Expect(errors.Is(err, dandeliongap.ErrNotFound)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("cycle, "))
	})

	// Guards against an off-by-one error in the size limit.
	It("accept 1,048,576 bytes and no more", func() {
		text := example("kelani.ini")
		padding := bytes.Repeat([]byte("#"), 1<<20-len(text))
		Expect(parseAny("full", append(text, padding...)).Any()).To(BeFalse())
		faults := parseAny("over", append(text, append(padding, '\n')...))
		Expect(formatWithChecks(faults)).To(HaveSuffix(": size: the text has 1048577 bytes, which is over 1048576\n"))
	})

	// Guards against a deployment whose placement table is larger than the platform's
	// limit for one object.
	It("limit the numbers of services and replicas", func() {
		var text bytes.Buffer
		text.Write(example("kelani.ini"))
		for i := range 2001 {
			fmt.Fprintf(&text, "[service s-%d]\nlike = office\nreplica 1 = 127.1.%d.%d:80 in zone-a\n", i, i/256, i%256)
		}
		faults := parseAny("many", text.Bytes())
		Expect(checkNames(faults)).To(Equal([]string{"limits"}))
	})

	// Guards against a message with a percent sign that is used as a format string,
	// and against messages of unlimited length.
	It("format faults verbatim and limit their number", func() {
		text := []byte("[deployment]\nname = a\nzones = a\nhedge extra = 5\nx = 1\n")
		faults := parseAny("kelani.ini", text)
		const first = "kelani.ini:4: hedge extra in [deployment]: \"5\" is not a number with %, such as 5%\n"
		Expect(faults.Err().Error()).To(ContainSubstring(first))
		Expect(dgsettings.Faults{}.Err()).To(Succeed())
		Expect(faults.List).To(HaveLen(3))
		Expect(faults.Head(2)).To(HaveSuffix(first + "kelani.ini: 1 more faults\n"))
		Expect(faults.Head(3)).To(Equal(faults.String()))
	})

	// Guards against an operator token that reaches the log in a fault message or in
	// formatted settings.
	It("keep the operator token out of faults and formatted settings", func() {
		text := bytes.Replace(example("daemon.ini"), []byte("operator token ="), []byte("operator token = \xc8\x98ecret"), 1)
		Expect(parseAny("daemon", text).Err()).To(MatchError(dandeliongap.ErrInvalid))
		Expect(parseAny("daemon", text).String()).NotTo(ContainSubstring("change-this"))
		d, _ := dgsettings.ParseDaemon("daemon", example("daemon.ini"))
		Expect(fmt.Sprintf("%v %+v %#v", d, d, d)).NotTo(ContainSubstring("change-this"))
	})
})
