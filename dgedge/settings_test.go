package dgedge_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgquota"
)

func TestEdge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgedge")
}

const settings = `[edge]
vm = vm-1
zone = z
store = 127.0.0.1:1
first start = true
entry listen = 127.0.0.1:2
ready listen = 127.0.0.1:3
directory listen = 127.0.0.1:4
gossip listen = 127.0.0.1:5
shutdown limit = 6s
directory keep = 5s
retry ratio = 0.2
retry slack = 52
retry window = 10s
`

var _ = Describe("ParseSettings", func() {
	It("reads every key", func() {
		s, err := dgedge.ParseSettings([]byte(settings))
		Expect(err).NotTo(HaveOccurred())
		Expect(s).To(Equal(dgedge.Settings{VM: "vm-1", Zone: "z", StoreAddress: "127.0.0.1:1", FirstStart: true, EntryListen: "127.0.0.1:2", ReadyListen: "127.0.0.1:3",
			DirectoryListen: "127.0.0.1:4", GossipListen: "127.0.0.1:5", ShutdownLimit: 6 * time.Second, MaxDirectoryTTL: 5 * time.Second,
			RetryRatio: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second}))
	})
	It("reads the limits of the VM, and takes empty ones for not set (guards against a placeholder without a value)", func() {
		s, err := dgedge.ParseSettings([]byte(settings + "memory limit = 184\ndescriptor limit =\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect([]float64{s.MemoryLimitMB, s.DescriptorLimit}).To(Equal([]float64{184, 0}))
		_, err = dgedge.ParseSettings([]byte(settings + "memory limit = -1\n"))
		Expect(err).To(MatchError(ContainSubstring("memory limit")))
	})
	// Guards against a VM that starts with only part of its settings.
	DescribeTable("names the invalid key",
		func(key, value string) {
			var lines []string
			for line := range strings.SplitSeq(settings, "\n") {
				if strings.HasPrefix(line, key+" =") {
					line = key + " = " + value
				}
				lines = append(lines, line)
			}
			_, err := dgedge.ParseSettings([]byte(strings.Join(lines, "\n")))
			Expect(err).To(MatchError(dandeliongap.ErrInvalid))
			Expect(err).To(MatchError(ContainSubstring(`"` + key + `"`)))
		},
		Entry(nil, "vm", ""),
		Entry(nil, "vm", "."),
		Entry(nil, "zone", ""),
		Entry(nil, "zone", "a\x01"),
		Entry(nil, "store", "host:80"),
		Entry(nil, "first start", "perhaps"),
		Entry(nil, "entry listen", "127.0.0.1"),
		Entry(nil, "shutdown limit", "6"),
		Entry(nil, "directory keep", "-1s"),
		Entry(nil, "retry ratio", "2"),
		Entry(nil, "retry slack", "many"),
	)
	// Guards against a VM that does not start where the platform has no value for a key.
	It("takes empty values of the keys for quotas as not set, and the others as they are", func() {
		parse := func(lines string) dgedge.Settings {
			s, err := dgedge.ParseSettings([]byte(settings + lines))
			Expect(err).NotTo(HaveOccurred())
			return s
		}
		none := parse("")
		Expect(none.Quota).To(BeNil())
		Expect(parse("quota window s =\nquota overshoot = \nquota slack =\nrevoke time ms =\nconfig time ms = \n")).To(Equal(none))
		s := parse("quota window s = 4\nquota overshoot =\nquota slack = 7\nrevoke time ms = 3000\n")
		Expect(*s.Quota).To(Equal(dgquota.Bounds{Window: 4 * time.Second, Overshoot: dgquota.DefaultBounds.Overshoot, Slack: 7}))
		Expect([]time.Duration{s.RevokeTime, s.ConfigTime}).To(Equal([]time.Duration{3 * time.Second, 0}))
		for _, bad := range []string{"quota window s = 0", "quota window s = 5s", "quota overshoot = 2", "quota slack = -1", "revoke time ms = soon"} {
			_, err := dgedge.ParseSettings([]byte(settings + bad + "\n"))
			Expect(err).To(MatchError(dandeliongap.ErrInvalid), bad)
		}
	})
})

// FuzzParseSettings guards against a settings file that crashes the process, and against
// one that is accepted although a key is missing.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(settings))
	f.Add([]byte("[edge\nvm"))
	f.Add([]byte("[edge]\nvm = \x00\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := dgedge.ParseSettings(text)
		if err == nil && (s.VM == "" || s.EntryListen == "" || s.ShutdownLimit <= 0) {
			t.Fatalf("accepted settings without a required key: %+v", s)
		}
	})
}
