package dgsettings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgsettings")
}

// example returns the text of a file in the examples folder.
func example(name string) []byte {
	text, err := os.ReadFile("../examples/" + name)
	Expect(err).NotTo(HaveOccurred())
	return text
}

func parseExample(name string) *dandeliongap.Deployment {
	d, faults := dgsettings.ParseDeployment(name, example(name))
	Expect(faults.String()).To(BeEmpty())
	return d
}

var _ = Describe("the examples", func() {
	// Guards against examples that do not parse, or whose size differs from the design
	// page. The map sizes gives the number of leaf services of a group service and the
	// number of replicas of a leaf service. The map cold gives the cold limit for
	// each number of slots of a replica.
	DescribeTable("have the sizes of the design page",
		func(file string, zones, replicas int, sizes map[dandeliongap.ServiceName]int, cold map[dandeliongap.Slots]dandeliongap.Slots) {
			d := parseExample(file)
			Expect(d.Zones).To(HaveLen(zones))
			Expect(d.HedgeExtra).To(Equal(0.05))
			total := 0
			addresses := map[string]bool{}
			for _, s := range d.Services {
				zonesSeen := map[dandeliongap.ZoneName]bool{}
				for _, r := range s.Replicas {
					total++
					addresses[r.Address] = true
					zonesSeen[r.Zone] = true
					Expect(r.ColdLimit).To(Equal(cold[r.Slots]), string(r.ID))
				}
				Expect(zonesSeen).To(HaveLen(min(len(s.Replicas), zones)), "availability zones of "+string(s.Name))
			}
			Expect(total).To(Equal(replicas))
			Expect(addresses).To(HaveLen(replicas))
			for name, size := range sizes {
				s := d.Services[name]
				Expect(s).NotTo(BeNil(), string(name))
				if s.Kind == dandeliongap.KindGroup {
					Expect(s.Leaves).To(HaveLen(size))
				} else {
					Expect(s.Replicas).To(HaveLen(size))
				}
			}
		},
		Entry("Kelani", "kelani.ini", 3, 114, map[dandeliongap.ServiceName]int{
			"order-search": 20, "quarry-dispatch": 30, "invoicing": 10, "lorry-tracking": 4,
		}, map[dandeliongap.Slots]dandeliongap.Slots{3: 1, 6: 2}),
		Entry("Stejar", "stejar.ini", 4, 123, map[dandeliongap.ServiceName]int{
			"toolroom-search": 20, "quote-boards": 30, "archive": 15, "shop-portal": 8,
		}, map[dandeliongap.Slots]dandeliongap.Slots{3: 1}),
	)

	// Guards against a value that is stored in the wrong field or unit, and against a
	// key of a service that does not override its defaults section.
	It("give the values of the text", func() {
		kelani := parseExample("kelani.ini")
		Expect(kelani.Replica("order-shard-01/2")).To(HaveValue(Equal(dandeliongap.Replica{
			ID: "order-shard-01/2", Service: "order-shard-01", Address: "127.0.0.1:21001", Zone: "zone-b",
			Slots: 3, Connections: 30, ConnectCost: 6 * time.Millisecond, ColdLimit: 1,
		})))
		Expect(kelani.Services["quarry-dispatch"].Actions).To(BeTrue())
		Expect(kelani.Services["order-search"].Actions).To(BeFalse())
		Expect(kelani.Services["invoicing"].Deadline).To(Equal(500 * time.Millisecond))
		Expect(kelani.Services["lorry-tracking"].Deadline).To(Equal(300 * time.Millisecond))
		stejar := parseExample("stejar.ini")
		Expect(stejar.Services["archive"].Class).To(Equal(dandeliongap.ClassArchive))
		Expect(stejar.Services["toolroom-search"].Partial).To(BeTrue())
		Expect(stejar.Services["archive"].Partial).To(BeFalse())
	})

	// Guards against a comment, line end or space that becomes part of a value.
	It("parse to the same deployment with other spaces, comments and line ends", func() {
		text := string(example("kelani.ini"))
		text = regexp.MustCompile(`(?m)^([a-z0-9 ]+) = (.*)$`).ReplaceAllString(text, "\t$1=  $2\t ; note = 1 # x")
		text = strings.ReplaceAll(text, "]\n", "] # note\n")
		text = strings.ReplaceAll("\ufeff"+text, "\n", " \r\n")
		d, faults := dgsettings.ParseDeployment("spaces", []byte(text))
		Expect(faults.String()).To(BeEmpty())
		Expect(d).To(Equal(parseExample("kelani.ini")))
	})

	// Guards against optional keys of a daemon that do not default to the values of
	// DefaultDaemon.
	It("give the daemon its defaults", func() {
		d, faults := dgsettings.ParseDaemon("daemon.ini", example("daemon.ini"))
		Expect(faults.String()).To(BeEmpty())
		want := dgsettings.DefaultDaemon()
		want.VM, want.Zone = "entry-1", "zone-a"
		want.CallerListen, want.CallerAnnounce = "127.0.0.1:8080", "127.0.0.1:8080"
		want.PeerListen, want.PeerAnnounce = "127.0.0.1:8081", "127.0.0.1:8081"
		want.Platform = "127.0.0.1:8000"
		want.Seeds = []string{"127.0.0.1:8083", "127.0.0.1:8085"}
		want.OperatorToken = "change-this-token-before-use"
		Expect(d).To(Equal(want))
	})
})
