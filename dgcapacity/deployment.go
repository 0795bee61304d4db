package dgcapacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings"
)

// zones of the two regions at the target scale.
var zones = [...]dandeliongap.ZoneName{"east-a", "east-b", "east-c", "west-a", "west-b"}

// groupCount is the number of group services among which the leaves are shared.
const groupCount = 2

// deploymentText returns a configuration text with the given number of replicas.
// There are as many replicas for each leaf as at the target: 2,500 for 650. mark
// is a comment that makes two texts differ.
func deploymentText(replicas int, mark string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Revision %s.\n[deployment]\nname = capacity\nzones = ", mark)
	for i, z := range zones {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(string(z))
	}
	b.WriteString("\nhedge extra = 5%\n\n[defaults shard]\nclass = ordinary\ndeadline = 300ms\npartial = yes\nactions = no\n" +
		"slots = 3\nconnections = 30\nconnect cost = 6ms\ncold limit = 1\n")
	leaves := max(2, replicas*TargetShards/TargetReplicas)
	for g := range groupCount {
		fmt.Fprintf(&b, "\n[service search-%d]\nlike = shard\ndepends = ", g)
		for i := g; i < leaves; i += groupCount {
			if i != g {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "shard-%03d", i)
		}
		b.WriteString("\n")
	}
	for i := range leaves {
		fmt.Fprintf(&b, "\n[service shard-%03d]\nlike = shard\n", i)
		for k, r := 1, i; r < replicas; k, r = k+1, r+leaves {
			fmt.Fprintf(&b, "replica %d = 10.%d.%d.%d:9000 in %s\n", k, r%7, r/250, r%250+1, zones[(i+k)%len(zones)])
		}
	}
	return b.String()
}

// deploymentObject is the body of state/deployment as dgnode writes it.
type deploymentObject struct {
	ChangeID string `json:"ChangeId"`
	Text     string
	Recent   []string `json:",omitempty"`
}

// recentChanges is the number of change ids that dgnode keeps in the object.
const recentChanges = 32

func deploymentBody(replicas int, mark string) ([]byte, error) {
	o := deploymentObject{ChangeID: "change-" + mark, Text: deploymentText(replicas, mark)}
	for i := range recentChanges {
		o.Recent = append(o.Recent, fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15))
	}
	return json.Marshal(o)
}

func parseDeployment(body []byte) (*dandeliongap.Deployment, error) {
	var o deploymentObject
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	d, faults := dgsettings.ParseDeployment("capacity", []byte(o.Text))
	if faults.Any() {
		return nil, fmt.Errorf("deployment: %w: %s", dandeliongap.ErrInvalid, faults)
	}
	return d, nil
}
