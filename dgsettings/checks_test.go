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

// parse reads a text of either kind and returns its faults.
func parse(name string, text []byte) dgsettings.Faults {
	if bytes.Contains(text, []byte("[daemon]")) {
		d, faults := dgsettings.ParseDaemon(name, text)
		Expect(d.VM == "").To(Equal(faults.Any()), "settings and faults exclude each other")
		return faults
	}
	d, faults := dgsettings.ParseDeployment(name, text)
	Expect(d == nil).To(Equal(faults.Any()), "a Deployment and faults exclude each other")
	return faults
}

func describe(faults dgsettings.Faults) []byte {
	var b bytes.Buffer
	for _, f := range faults.List {
		fmt.Fprintf(&b, "%s:%d: %s: %s\n", faults.File, f.Line, f.Check, f.Message)
	}
	return b.Bytes()
}

func found(faults dgsettings.Faults) []string {
	var names []string
	for _, f := range faults.List {
		names = append(names, f.Check)
	}
	return names
}

var _ = Describe("the checks", func() {
	// Guards against a fault that is missed, reported on another line, or hidden
	// by another fault. Run "go test -update" to write the golden files.
	for _, check := range dgsettings.Checks() {
		dir := "dg" + check.Name + "/testdata"
		texts, _ := filepath.Glob(dir + "/*.ini")
		for _, path := range texts {
			It("report the faults of "+path, func() {
				text, err := os.ReadFile(path)
				Expect(err).NotTo(HaveOccurred())
				faults := parse(filepath.Base(path), text)
				Expect(found(faults)).To(ContainElement(check.Name))
				name := strings.TrimSuffix(filepath.Base(path), ".ini")
				goldie.New(GinkgoTB(), goldie.WithFixtureDir(dir)).Assert(GinkgoTB(), name, describe(faults))
			})
		}
	}

	// Guards against a check without documentation or without a test text.
	It("each have documentation and an example with the fault", func() {
		for _, check := range dgsettings.Checks() {
			Expect(check.Title).NotTo(BeEmpty(), check.Name)
			Expect(check.Text).NotTo(BeEmpty(), check.Name)
			Expect(check.Since).NotTo(BeEmpty(), check.Name)
			text, err := dgsettings.Explain(check.Name)
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(HavePrefix(check.Name + ": " + check.Title))
			if check.Name != "size" {
				Expect(found(parse("example", []byte(check.Example)))).To(ContainElement(check.Name))
			}
		}
	})

	// Guards against raw control characters of an example on a terminal.
	It("explain without control characters", func() {
		text, err := dgsettings.Explain("encoding")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).NotTo(ContainSubstring("\x00"))
	})

	// Guards against an unknown name that callers cannot tell from a failure.
	It("report an unknown name with the known ones", func() {
		_, err := dgsettings.Explain("cycles")
		Expect(errors.Is(err, dandeliongap.ErrNotFound)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("cycle, "))
	})

	// Guards against a limit that is off by one byte.
	It("accept 1,048,576 bytes and no more", func() {
		text := example("kelani.ini")
		fill := bytes.Repeat([]byte("#"), 1<<20-len(text))
		Expect(parse("full", append(text, fill...)).Any()).To(BeFalse())
		faults := parse("over", append(text, append(fill, '\n')...))
		Expect(describe(faults)).To(HaveSuffix(": size: the text has 1048577 bytes, which is over 1048576\n"))
	})

	// Guards against a table of placements larger than one object of the platform.
	It("bound the numbers of services and replicas", func() {
		var text bytes.Buffer
		text.Write(example("kelani.ini"))
		for i := range 2001 {
			fmt.Fprintf(&text, "[service s-%d]\nlike = office\nreplica 1 = 127.1.%d.%d:80 in zone-a\n", i, i/256, i%256)
		}
		faults := parse("many", text.Bytes())
		Expect(found(faults)).To(Equal([]string{"limits"}))
	})

	// Guards against a percent sign in a message that formatting would replace,
	// and against messages without bound.
	It("print faults as they are", func() {
		text := []byte("[deployment]\nname = a\nzones = a\nhedge extra = 5\nx = 1\n")
		faults := parse("kelani.ini", text)
		const first = "kelani.ini:4: hedge extra in [deployment]: \"5\" is not a number with %, such as 5%\n"
		Expect(faults.Err().Error()).To(ContainSubstring(first))
		Expect(dgsettings.Faults{}.Err()).To(Succeed())
		Expect(faults.List).To(HaveLen(3))
		Expect(faults.Head(2)).To(HaveSuffix(first + "kelani.ini: 1 more faults\n"))
		Expect(faults.Head(3)).To(Equal(faults.String()))
	})

	// Guards against a secret that reaches a log by way of a fault or a value.
	It("keep the operator token out of faults and prints", func() {
		text := bytes.Replace(example("daemon.ini"), []byte("operator token ="), []byte("operator token = \xc8\x98ecret"), 1)
		Expect(parse("daemon", text).Err()).To(MatchError(dandeliongap.ErrInvalid))
		Expect(parse("daemon", text).String()).NotTo(ContainSubstring("change-this"))
		d, _ := dgsettings.ParseDaemon("daemon", example("daemon.ini"))
		Expect(fmt.Sprintf("%v %+v %#v", d, d, d)).NotTo(ContainSubstring("change-this"))
	})
})
