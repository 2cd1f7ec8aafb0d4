package joiner

import (
	"context"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func TestJoiner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "joiner")
}

// fakeState is a log state that records proposals without applying them.
type fakeState struct {
	view            reducer.View
	notBootstrapped bool
	proposed        []recorder.Kind
	renamed         []string
}

func (fak *fakeState) View() *reducer.View          { return &fak.view }
func (fak *fakeState) Changed() <-chan struct{}     { return nil }
func (fak *fakeState) Bootstrapped() (string, bool) { return "log", !fak.notBootstrapped }

func (fak *fakeState) Append(_ context.Context, rec recorder.Record) (follower.Verdict, error) {
	fak.proposed = append(fak.proposed, rec.Kind)
	return follower.Verdict{}, nil
}

func (fak *fakeState) joiner() *Joiner {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return New(Options{
		Member: recorder.Member{Name: "e1"}, State: fak, Appender: fak, Clock: clockwork.NewFakeClock(), Logger: quiet,
		OnRename: func(inc string) { fak.renamed = append(fak.renamed, inc) },
	})
}

// addMember makes an incarnation a member under a name.
func (fak *fakeState) addMember(name, inc string) {
	fak.view.Members[inc] = reducer.Member{Member: recorder.Member{Name: name, Incarnation: inc}}
}

var _ = Describe("an entry", func() {
	cases := []struct {
		name    string
		change  func(fak *fakeState, joi *Joiner, inc string)
		joins   bool
		renamed bool
	}{
		{"joins when it is not a member", func(*fakeState, *Joiner, string) {}, true, false},
		{"does not join when it is a member", func(fak *fakeState, _ *Joiner, inc string) { fak.addMember("e1", inc) }, false, false},
		{"does not join before there is a state", func(fak *fakeState, _ *Joiner, _ string) { fak.notBootstrapped = true }, false, false},
		{"rejoins under a new incarnation after an eviction", func(fak *fakeState, _ *Joiner, inc string) {
			fak.view.Departed[inc] = reducer.Departed{}
		}, true, true},
		{"does not rejoin when another process took over its name", func(fak *fakeState, _ *Joiner, inc string) {
			fak.view.Departed[inc] = reducer.Departed{}
			fak.addMember("e1", "later")
		}, false, false},
		{"rejoins when the other members have other names", func(fak *fakeState, _ *Joiner, inc string) {
			fak.view.Departed[inc] = reducer.Departed{}
			fak.addMember("e2", "later")
		}, true, true},
		{"does not join while it drains", func(_ *fakeState, joi *Joiner, _ string) {
			Expect(joi.Drain(context.Background())).To(Succeed())
		}, false, false},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			fak := &fakeState{view: reducer.View{Members: map[string]reducer.Member{}, Departed: map[string]reducer.Departed{}}}
			joi := fak.joiner()
			inc := joi.Member().Incarnation
			cas.change(fak, joi, inc)
			fak.proposed = nil
			Expect(joi.Step(context.Background())).To(Equal(cas.joins))
			if cas.joins {
				Expect(fak.proposed).To(Equal([]recorder.Kind{recorder.KindJoin}))
			} else {
				Expect(fak.proposed).To(BeEmpty())
			}
			if cas.renamed {
				Expect(fak.renamed).To(Equal([]string{joi.Member().Incarnation}))
			} else {
				Expect(joi.Member().Incarnation).To(Equal(inc))
				Expect(fak.renamed).To(BeEmpty())
			}
		})
	}
})
