package dgdaemon_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap/dgdaemon"
	"dandeliongap.example/dandeliongap/dgstandin"
	. "github.com/onsi/gomega"
)

// waitTimeout bounds waits for events that must happen. It is far above the usual
// duration, so only a hang reaches it.
const waitTimeout = time.Minute

// settings writes a settings file with the given platform address and returns its
// path. replace holds pairs of old and new strings, as for strings.NewReplacer.
func settings(t *testing.T, platform string, replace ...string) string {
	t.Helper()
	text := "[daemon]\nvm = entry-1\nzone = zone-a\ncaller listen = 127.0.0.1:1\npeer listen = 127.0.0.1:2\n" +
		"platform = " + platform + "\noperator token = 0123456789abcdef\n"
	path := filepath.Join(t.TempDir(), "daemon.ini")
	NewWithT(t).Expect(os.WriteFile(path, []byte(strings.NewReplacer(replace...).Replace(text)), 0o600)).To(Succeed())
	return path
}

// output is a buffer that the test can read while the daemon writes to it.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// Guards against a daemon that starts with invalid settings, or does not report
// the location of the fault.
func TestInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct {
		flags dgdaemon.Flags
		want  string // part of the error output
	}{
		"invalid value":     {dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3", "127.0.0.1:2", "nowhere")}, "daemon.ini:5: "},
		"unknown key":       {dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3", "zone = zone-a", "zone = zone-a\ncolour = red")}, "daemon.ini:4: "},
		"missing key":       {dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3", "vm = entry-1\n", "")}, "daemon.ini:1: "},
		"no file":           {dgdaemon.Flags{Settings: "none.ini"}, "none.ini"},
		"invalid log level": {dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3"), LogLevel: "loud"}, `"loud"`},
		"invalid address":   {dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3"), CallerListen: "nowhere"}, `"nowhere"`},
		"invalid VM":        {dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3"), VM: "a # b"}, "flags"},
		"invalid zone":      {dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3"), Zone: "a\nlog level = info"}, "flags"},
		"invalid platform":  {dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3"), Platform: "nowhere"}, `"nowhere"`},
	} {
		for _, check := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, check %t", name, check), func(t *testing.T) {
				g := NewWithT(t)
				var out, errOut output
				stop := make(chan os.Signal, 1)
				stop <- os.Interrupt
				c.flags.CheckOnly = check
				g.Expect(dgdaemon.Main(&c.flags, &out, &errOut, stop)).To(Equal(dgdaemon.ExitUsage), out.String())
				g.Expect(errOut.String()).To(ContainSubstring(c.want))
			})
		}
	}
}

// Guards against --check reporting a fault in valid settings.
func TestCheckAcceptsValidSettings(t *testing.T) {
	g := NewWithT(t)
	var out, errOut output
	f := dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3"), CheckOnly: true}
	g.Expect(dgdaemon.Main(&f, &out, &errOut, nil)).To(Equal(dgdaemon.ExitOK))
	g.Expect(out.String()).To(Equal(f.Settings + ": no fault\n"))
}

// freeAddress returns an address with a port that was free during the call.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// Guards against flags that do not take precedence over the settings file, and
// against a failure exit code after a shutdown by signal.
func TestFlagsOverrideSettings(t *testing.T) {
	g := NewWithT(t)
	platform, err := dgstandin.NewPlatform(dgstandin.PlatformOptions{})
	g.Expect(err).NotTo(HaveOccurred())
	defer platform.Close()
	f := dgdaemon.Flags{
		Settings:     settings(t, "127.0.0.1:3"),
		VM:           "entry-7",
		Zone:         "zone-c",
		CallerListen: freeAddress(t),
		PeerListen:   freeAddress(t),
		Platform:     platform.Address(),
		LogLevel:     "info",
	}
	var out, errOut output
	stop := make(chan os.Signal, 1)
	code := make(chan int, 1)
	go func() { code <- dgdaemon.Main(&f, &out, &errOut, stop) }()
	g.Eventually(func() string {
		obj, _ := platform.Object("state/members")
		return string(obj.Body)
	}, waitTimeout).Should(And(ContainSubstring("entry-7"), ContainSubstring("zone-c"), ContainSubstring(f.CallerListen), ContainSubstring(f.PeerListen)))
	stop <- os.Interrupt
	g.Eventually(code, waitTimeout).Should(Receive(Equal(dgdaemon.ExitOK)), errOut.String())
	g.Expect(out.String()).To(ContainSubstring(`"VM":"entry-7"`))
}

// Guards against a daemon that does not report that its port is in use.
func TestPortInUse(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	f := dgdaemon.Flags{Settings: settings(t, "127.0.0.1:3"), CallerListen: l.Addr().String(), PeerListen: freeAddress(t)}
	var out, errOut output
	g.Expect(dgdaemon.Main(&f, &out, &errOut, nil)).To(Equal(dgdaemon.ExitFailed))
	g.Expect(out.String()).To(ContainSubstring("address already in use"))
}
