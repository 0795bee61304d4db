package dgdemo_test

import (
	"errors"
	"fmt"
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	"dandeliongap.example/dandeliongap/dgstandin"
	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// applyResult is the result of a change of the configuration by one operator.
type applyResult struct {
	text    string
	version dandeliongap.Version
	err     error
}

// applyConcurrently applies two texts on top of the same version at the same time.
// An operator that gets no answer repeats its change with the same ID. accepted is a
// result without an error, if there is one, and refused is the other result.
func (f *fixture) applyConcurrently(base dandeliongap.Version, name string) (accepted, refused applyResult) {
	var changes [2]applyResult
	var operators conc.WaitGroup
	for i := range changes {
		c := &changes[i]
		c.text = fmt.Sprintf("# %s, operator %d\n%s", name, i, f.Text)
		operators.Go(func() {
			id := uuid.NewString()
			for f.ctx.Err() == nil {
				c.version, c.err = f.client.ApplyConfig(f.ctx, c.text, base, id)
				if !errors.Is(c.err, dandeliongap.ErrUnreachable) {
					return
				}
			}
		})
	}
	operators.Wait()
	if changes[0].err != nil {
		return changes[1], changes[0]
	}
	return changes[0], changes[1]
}

// Guards against two conflicting changes that are both reported as accepted, a
// conflict error without the versions, a wrong report after the platform's answer
// was lost, and a VM that returns to an earlier text.
func TestConcurrentChangesOfTwoOperators(t *testing.T) {
	f := sharedFixture(t)
	reverts := f.watchConfig()
	_, base, err := f.client.GetConfig(f.ctx)
	f.Expect(err).NotTo(HaveOccurred())
	for round := range 8 {
		loseAnswers := round%2 == 1
		if loseAnswers {
			f.setPlatformFaults(dgstandin.PlatformFaults{LoseShare: 0.3})
		}
		accepted, refused := f.applyConcurrently(base, fmt.Sprintf("round %d", round))
		f.Expect(accepted.err).NotTo(HaveOccurred())
		var conflict *dgclient.ConflictError
		f.Expect(errors.As(refused.err, &conflict)).To(BeTrue(), "round %d: %v", round, refused.err)
		f.Expect(*conflict).To(Equal(dgclient.ConflictError{Current: accepted.version, Given: base}))
		f.setPlatformFaults(dgstandin.PlatformFaults{})
		f.until("the accepted text is in force", func() bool {
			return f.onEveryVM(func(v *dandeliongap.View) bool { return v.Config == accepted.version })
		})
		text, version, err := f.client.GetConfig(f.ctx)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(version).To(Equal(accepted.version))
		f.Expect(text).To(Equal(accepted.text))
		base = version
	}
	f.Expect(reverts()).To(BeZero())
}

// Guards against a change that is reported as failed or as in conflict with itself
// although the write took effect and only the platform's answer was lost.
func TestLostAnswerOfAnAcceptedChange(t *testing.T) {
	f := sharedFixture(t)
	_, base, err := f.client.GetConfig(f.ctx)
	f.Expect(err).NotTo(HaveOccurred())
	f.setPlatformFaults(dgstandin.PlatformFaults{LoseShare: 1})
	done := make(chan applyResult, 1)
	go func() {
		version, err := f.client.ApplyConfig(f.ctx, "# changed\n"+f.Text, base, uuid.NewString())
		done <- applyResult{version: version, err: err}
	}()
	var written dandeliongap.Version
	f.until("the write took effect", func() bool {
		obj, err := f.Platform.Object("state/deployment")
		written = obj.Version
		return err == nil && written > base
	})
	f.setPlatformFaults(dgstandin.PlatformFaults{})
	result := <-done
	f.Expect(result.err).NotTo(HaveOccurred())
	f.Expect(result.version).To(Equal(written))
	f.until("the change is in force", func() bool {
		return f.onEveryVM(func(v *dandeliongap.View) bool { return v.Config == written })
	})
}
