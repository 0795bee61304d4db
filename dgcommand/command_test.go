package dgcommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgcommand"
	"dandeliongap.example/dandeliongap/dgdemo"
	"github.com/alecthomas/kong"
	. "github.com/onsi/gomega"
)

// startLimit bounds the start of the cluster. It only has to be longer than a start
// takes.
const startLimit = time.Minute

const deploymentText = `[deployment]
name = small
zones = zone-a, zone-b
hedge extra = 5%
[defaults shard]
class = ordinary
deadline = 20s
partial = yes
actions = no
slots = 3
connections = 30
connect cost = 1ms
cold limit = 1
[service search]
like = shard
depends = search-1
[service search-1]
like = shard
replica 1 = 127.0.0.1:21000 in zone-a
replica 2 = 127.0.0.1:21001 in zone-b
[service dispatch]
like = shard
actions = yes
depends = dispatch-1
[service dispatch-1]
like = shard
actions = yes
replica 1 = 127.0.0.1:21002 in zone-a
replica 2 = 127.0.0.1:21003 in zone-b
`

// runCommand parses and runs a command line like the dandeliongap command, and
// returns its exit code and output.
func runCommand(t *testing.T, args ...string) (code int, out string) {
	t.Helper()
	var cli dgcommand.CLI
	parser, err := kong.New(&cli)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	c, err := parser.Parse(args)
	if err != nil {
		return dgcommand.ExitUsage, err.Error()
	}
	var b bytes.Buffer
	err = c.Run(&dgcommand.Env{Ctx: t.Context(), Out: &b, Err: &b, DecodeReport: decodeReport})
	if err != nil {
		fmt.Fprintln(&b, err)
	}
	return dgcommand.ExitCode(err), b.String()
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	NewWithT(t).Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

// decodeReport decodes a report that consists of the worth alone.
func decodeReport(text []byte) (r dandeliongap.RunReport, err error) {
	_, err = fmt.Sscan(string(text), &r.Worth)
	r.Windows = []dandeliongap.RequestStats{{Name: "0", Worth: r.Worth}, {Name: "2", Worth: r.Worth}}
	return r, err
}

// Guards against a plot that is not written, and against an invalid report that
// replaces an existing plot or leaves a temporary file.
func TestPlot(t *testing.T) {
	g := NewWithT(t)
	out := filepath.Join(t.TempDir(), "runs.png")
	good := writeFile(t, "good.json", "0.8")
	code, text := runCommand(t, "plot", good, "--out", out)
	g.Expect(code).To(Equal(dgcommand.ExitOK), text)
	before, err := os.ReadFile(out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.HasPrefix(before, []byte("\x89PNG"))).To(BeTrue())
	code, text = runCommand(t, "plot", good, writeFile(t, "bad.json", "none"), "--out", out)
	g.Expect(code).To(Equal(dgcommand.ExitFailed))
	g.Expect(text).To(ContainSubstring("bad.json: "))
	code, _ = runCommand(t, "plot", good, good, good, good, good, "--out", out)
	g.Expect(code).To(Equal(dgcommand.ExitFailed))
	g.Expect(os.ReadFile(out)).To(Equal(before))
	leftovers, err := filepath.Glob(filepath.Join(filepath.Dir(out), ".plot-*"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(leftovers).To(BeEmpty())
}

// Guards against a check that accepts an invalid text, and against a wrong exit code
// or fault location, on which scripts depend.
func TestCheck(t *testing.T) {
	g := NewWithT(t)
	good := writeFile(t, "good.ini", deploymentText)
	code, out := runCommand(t, "check", good)
	g.Expect(code).To(Equal(dgcommand.ExitOK))
	g.Expect(out).To(ContainSubstring("no fault, deployment small with 4 services"))
	bad := writeFile(t, "bad.ini", strings.Replace(deploymentText, "slots = 3", "slots = many", 1))
	code, out = runCommand(t, "check", bad)
	g.Expect(code).To(Equal(dgcommand.ExitFailed))
	g.Expect(out).To(ContainSubstring(bad + ":10: "))
	code, out = runCommand(t, "check", "--json", bad)
	g.Expect(code).To(Equal(dgcommand.ExitFailed))
	g.Expect(out).To(ContainSubstring(`"Faults":[{`))
	code, _ = runCommand(t, "check", filepath.Join(t.TempDir(), "none.ini"))
	g.Expect(code).To(Equal(dgcommand.ExitFailed))
	code, _ = runCommand(t, "check", "--none", good)
	g.Expect(code).To(Equal(dgcommand.ExitUsage))
}

// listenAndHangUp returns the address of a server that reads one byte of a request and
// closes the connection without a response.
func listenAndHangUp(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against commands whose exit code or output does not match the answer of the
// tier.
func TestCommandsAgainstACluster(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	c, err := dgdemo.NewCluster(ctx, dgdemo.ClusterOptions{Text: deploymentText, VMs: 2, Service: dgdemo.ServiceTime})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(c.Close()).To(Succeed()) }()
	token := writeFile(t, "token", dgdemo.OperatorToken+"\n")
	caller := []string{"--address", c.Addresses()[0]}
	operator := append([]string{"--token-file", token}, caller...)
	expectExit := func(code int, args []string, wantOutput ...string) string {
		t.Helper()
		got, out := runCommand(t, args...)
		g.Expect(got).To(Equal(code), "%v: %s", args, out)
		for _, s := range wantOutput {
			g.Expect(out).To(ContainSubstring(s), "%v", args)
		}
		return out
	}
	with := func(flags []string, args ...string) []string { return append(args, flags...) }

	t.Log("show and apply")
	g.Expect(expectExit(dgcommand.ExitOK, with(operator, "show"))).To(Equal(c.Text))
	var shown struct {
		Version int64
		Text    string
	}
	g.Expect(json.Unmarshal([]byte(expectExit(dgcommand.ExitOK, with(operator, "show", "--json"))), &shown)).To(Succeed())
	changed := writeFile(t, "changed.ini", "# changed\n"+c.Text)
	expectExit(dgcommand.ExitUnauthorized, with(caller, "show"))
	expectExit(dgcommand.ExitUnauthorized, with(caller, "apply", changed))
	expectExit(dgcommand.ExitFailed, with(operator, "apply", writeFile(t, "bad.ini", "slots")), "bad.ini:1: ")
	expectExit(dgcommand.ExitOK, with(operator, "apply", "--wait", "1m", changed), "accepted as version ", "entry-1", "entry-2")
	expectExit(dgcommand.ExitConflict, with(operator, "apply", "--if-version", fmt.Sprint(shown.Version), changed), fmt.Sprintf("based on version %d", shown.Version))
	g.Expect(expectExit(dgcommand.ExitOK, with(operator, "show"))).To(HavePrefix("# changed\n"))
	// After a refused connection the call certainly did not run. If the connection is
	// lost after the request was sent, the outcome is unknown.
	expectExit(dgcommand.ExitFailed, []string{"apply", "--if-version", "1", "--address", "127.0.0.1:1", "--token-file", token, changed}, "not run")
	expectExit(dgcommand.ExitUnreachable, []string{"apply", "--if-version", "1", "--address", listenAndHangUp(t), "--token-file", token, changed}, "unreachable")

	t.Log("status and zones")
	expectExit(dgcommand.ExitOK, with(operator, "status", "--all"), "entry-1", "entry-2", "search-1/1", "dispatch-1/2")
	g.Expect(json.Valid([]byte(expectExit(dgcommand.ExitOK, with(operator, "status", "--json"))))).To(BeTrue())
	expectExit(dgcommand.ExitUnauthorized, with(caller, "status"))
	expectExit(dgcommand.ExitFailed, with(operator, "zone", "take-out", "none"), "none")
	expectExit(dgcommand.ExitUnauthorized, with(caller, "zone", "take-out", "zone-b"))
	expectExit(dgcommand.ExitOK, with(operator, "zone", "take-out", "zone-b"), "zone zone-b is taken out")
	expectExit(dgcommand.ExitOK, with(operator, "status"), "[zone-b]")
	expectExit(dgcommand.ExitOK, with(operator, "zone", "return", "zone-b"), "zone zone-b is in service")

	t.Log("searches and actions")
	expectExit(dgcommand.ExitOK, with(caller, "search", "search", "sleepers"), "answered: coverage 100.00% (2 of 2 parts)")
	expectExit(dgcommand.ExitFailed, with(caller, "search", "none", "sleepers"), "unknown service")
	expectExit(dgcommand.ExitUsage, with(caller, "search", "search", "sleepers", "--class", "none"))
	first := expectExit(dgcommand.ExitOK, with(caller, "act", "dispatch", "40 sleepers", "--key", "order-1"), "key order-1: answered")
	g.Expect(expectExit(dgcommand.ExitOK, with(caller, "act", "dispatch", "40 sleepers", "--key", "order-1"))).To(Equal(first))
	expectExit(dgcommand.ExitConflict, with(caller, "act", "dispatch", "80 sleepers", "--key", "order-1"), "not run")
	g.Expect(c.Fleet.RunCounts().Runs("order-1")).To(Equal(1))
	expectExit(dgcommand.ExitOK, with(caller, "act", "dispatch", "40 sleepers", "--json"), `"Outcome":"answered"`)
	expectExit(dgcommand.ExitOK, with(caller, "search", "search", "sleepers", "--json"), `"Outcome":"answered"`)
	expectExit(dgcommand.ExitFailed, with(caller, "act", "search", "40 sleepers"), "accepts no actions")
}
