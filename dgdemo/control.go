package dgdemo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"dandeliongap.example/dandeliongap/dgclient"
	"dandeliongap.example/dandeliongap/dgstandin"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// ControlOptions are the options of MeasureControl.
type ControlOptions struct {
	Text     string
	VMs      int               // default: 6
	Idle     time.Duration     // length of the idle phase
	Changes  int               // number of changes to measure without faults, and again with lost answers
	Progress func(what string) // called at the start of each phase; may be nil
}

// ControlReport holds the cost of the control plane and the times that changes
// of the configuration take.
type ControlReport struct {
	VMs                int
	IdleSeconds        float64
	PlatformCallsPerVM float64 // per second, watches included
	BytesSentPerVM     float64 // per second, exchange messages without HTTP overhead
	BytesReceivedPerVM float64 // per second, exchange messages without HTTP overhead
	// InForce is measured without faults, InForceThird while a third of the platform's
	// answers is lost.
	InForce, InForceThird ChangeTimes
}

// ChangeTimes summarizes the times from the start of an apply until the change is
// in force on every VM, in milliseconds.
type ChangeTimes struct {
	Changes      int
	MedianMs     float64
	MaxMs        float64
	TargetMs     float64
	Held         bool // at least one change was confirmed and MaxMs is within the target
	NotConfirmed int  // changes for which the operator got an error instead of the new version
}

// Limits of the measurement. The targets apply to a cluster of six VMs.
const (
	// inForceTarget limits the time from the start of a change until it is in force on
	// every VM, and lostAnswersTarget the same time while a third of the platform's
	// answers is lost.
	inForceTarget     = 2 * time.Second
	lostAnswersTarget = 3 * time.Second
	// settleTime is the time between the start of the cluster and the idle phase.
	settleTime = 3 * time.Second
	// platformCallTarget limits the platform calls per second of one idle VM.
	platformCallTarget = 1.0
)

// Held reports whether all targets are met.
func (r *ControlReport) Held() bool {
	return r.InForce.Held && r.InForceThird.Held && r.PlatformCallsPerVM <= platformCallTarget
}

// MeasureControl measures the control plane of an embedded cluster: the calls of
// the platform and the bytes sent and received while the cluster is idle, and the
// time until a change is in force, first without faults and then with a third of
// the platform's answers lost.
func MeasureControl(ctx context.Context, o ControlOptions) (*ControlReport, error) {
	if o.VMs == 0 {
		o.VMs = demoVMs
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	o.Progress("starting stand-ins and VMs")
	c, err := NewCluster(startCtx, ClusterOptions{Text: o.Text, VMs: o.VMs, Seed: 1})
	if err != nil {
		return nil, err
	}
	r, err := measureControl(ctx, c, o)
	if cerr := c.Close(); err == nil {
		err = cerr
	}
	return r, trace.Wrap(err)
}

func measureControl(ctx context.Context, c *Cluster, o ControlOptions) (*ControlReport, error) {
	r := &ControlReport{VMs: o.VMs, IdleSeconds: o.Idle.Seconds()}
	if !sleep(ctx, settleTime) {
		return nil, ctx.Err()
	}
	o.Progress("idle phase")
	before := c.controlCounts()
	if !sleep(ctx, o.Idle) {
		return nil, ctx.Err()
	}
	after := c.controlCounts()
	perVMSecond := 1 / (float64(o.VMs) * o.Idle.Seconds())
	r.PlatformCallsPerVM = float64(after.calls-before.calls) * perVMSecond
	r.BytesSentPerVM = float64(after.sent-before.sent) * perVMSecond
	r.BytesReceivedPerVM = float64(after.received-before.received) * perVMSecond
	client, err := c.Client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	o.Progress("changes")
	if r.InForce, err = c.measureChanges(ctx, client, o.Changes, inForceTarget); err != nil {
		return nil, err
	}
	o.Progress("changes with a third of the platform's answers lost")
	if err := c.Platform.SetFaults(dgstandin.PlatformFaults{LoseShare: 1.0 / 3}); err != nil {
		return nil, err
	}
	r.InForceThird, err = c.measureChanges(ctx, client, o.Changes, lostAnswersTarget)
	return r, err
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// controlCounts holds totals over all VMs since their start: calls of the platform,
// and bytes sent and received in exchange messages.
type controlCounts struct{ calls, sent, received int64 }

func (c *Cluster) controlCounts() controlCounts {
	n := controlCounts{calls: c.Platform.TotalCalls()}
	for _, node := range c.Nodes() {
		n.sent += node.Counter("ControlBytesSent")
		n.received += node.Counter("ControlBytesReceived")
	}
	return n
}

// measureChanges applies n changes one after the other and compares the longest time
// with the target.
func (c *Cluster) measureChanges(ctx context.Context, client *dgclient.Client, n int, target time.Duration) (ChangeTimes, error) {
	times := ChangeTimes{Changes: n, TargetMs: float64(target.Milliseconds())}
	var took []float64
	for range n {
		d, err := c.measureChange(ctx, client)
		if err != nil {
			return times, err
		}
		if d < 0 {
			times.NotConfirmed++
			continue
		}
		took = append(took, float64(d.Microseconds())/1000)
	}
	if len(took) > 0 {
		slices.Sort(took)
		times.MedianMs, times.MaxMs = took[len(took)/2], took[len(took)-1]
	}
	times.Held = len(took) > 0 && times.MaxMs <= times.TargetMs
	return times, nil
}

// measureChange applies the deployment text with a new comment line and returns the
// time until this change is in force on every VM. It returns -1 if the apply fails,
// since the operator then does not know the outcome.
func (c *Cluster) measureChange(ctx context.Context, client *dgclient.Client) (time.Duration, error) {
	_, version, err := client.GetConfig(ctx)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	id := uuid.NewString()
	version, err = client.ApplyConfig(ctx, "# change "+id+"\n"+c.Text, version, id)
	if err != nil {
		return -1, nil
	}
	err = c.Until(ctx, "the change is in force", func() bool {
		for _, n := range c.Nodes() {
			if n.View().Config < version {
				return false
			}
		}
		return true
	})
	return time.Since(started), err
}

// Print writes the report as a human-readable table.
func (r *ControlReport) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "%d VMs, idle for %.0f s\n", r.VMs, r.IdleSeconds)
	fmt.Fprintf(w, "platform calls per VM\t%.3f /s\ttarget at most %.0f\n", r.PlatformCallsPerVM, platformCallTarget)
	fmt.Fprintf(w, "control bytes per VM\tsent %.0f /s, received %.0f /s\twithout HTTP\n", r.BytesSentPerVM, r.BytesReceivedPerVM)
	for _, row := range []struct {
		name string
		t    ChangeTimes
	}{{"change in force everywhere", r.InForce}, {"with a third of answers lost", r.InForceThird}} {
		fmt.Fprintf(w, "%s\tmedian %.0f ms, longest %.0f ms of %d\ttarget %.0f ms, held %t, outcome unknown to the operator %d\n",
			row.name, row.t.MedianMs, row.t.MaxMs, row.t.Changes, row.t.TargetMs, row.t.Held, row.t.NotConfirmed)
	}
	return w.Flush()
}
