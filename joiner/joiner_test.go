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

// folded is a state that takes in nothing by itself.
type folded struct {
	view      reducer.View
	unfounded bool
	proposed  []recorder.Kind
	renamed   []string
}

func (fol *folded) View() *reducer.View      { return &fol.view }
func (fol *folded) Changed() <-chan struct{} { return nil }
func (fol *folded) Founded() (string, bool)  { return "log", !fol.unfounded }

func (fol *folded) Append(_ context.Context, rec recorder.Record) (follower.Judged, error) {
	fol.proposed = append(fol.proposed, rec.Kind)
	return follower.Judged{}, nil
}

func (fol *folded) joiner() *Joiner {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return New(Options{
		Member: recorder.Member{Name: "e1"}, State: fol, Appender: fol, Clock: clockwork.NewFakeClock(), Logger: quiet,
		OnRename: func(inc string) { fol.renamed = append(fol.renamed, inc) },
	})
}

// put makes an incarnation of a name a member.
func (fol *folded) put(name, inc string) {
	fol.view.Members[inc] = reducer.Member{Member: recorder.Member{Name: name, Incarnation: inc}}
}

var _ = Describe("an entry", func() {
	cases := []struct {
		name    string
		change  func(fol *folded, joi *Joiner, inc string)
		joins   bool
		renamed bool
	}{
		{"joins when it is no member", func(*folded, *Joiner, string) {}, true, false},
		{"stays a member", func(fol *folded, _ *Joiner, inc string) { fol.put("e1", inc) }, false, false},
		{"waits for the first state", func(fol *folded, _ *Joiner, _ string) { fol.unfounded = true }, false, false},
		{"joins anew under another incarnation after an eviction", func(fol *folded, _ *Joiner, inc string) {
			fol.view.Departed[inc] = reducer.Departed{}
		}, true, true},
		{"stays out when another run took its name", func(fol *folded, _ *Joiner, inc string) {
			fol.view.Departed[inc] = reducer.Departed{}
			fol.put("e1", "later")
		}, false, false},
		{"joins anew beside entries of other names", func(fol *folded, _ *Joiner, inc string) {
			fol.view.Departed[inc] = reducer.Departed{}
			fol.put("e2", "later")
		}, true, true},
		{"stays out once it drains", func(_ *folded, joi *Joiner, _ string) {
			Expect(joi.Drain(context.Background())).To(Succeed())
		}, false, false},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			fol := &folded{view: reducer.View{Members: map[string]reducer.Member{}, Departed: map[string]reducer.Departed{}}}
			joi := fol.joiner()
			inc := joi.Member().Incarnation
			cas.change(fol, joi, inc)
			fol.proposed = nil
			Expect(joi.Step(context.Background())).To(Equal(cas.joins))
			if cas.joins {
				Expect(fol.proposed).To(Equal([]recorder.Kind{recorder.KindJoin}))
			} else {
				Expect(fol.proposed).To(BeEmpty())
			}
			if cas.renamed {
				Expect(fol.renamed).To(Equal([]string{joi.Member().Incarnation}))
			} else {
				Expect(joi.Member().Incarnation).To(Equal(inc))
				Expect(fol.renamed).To(BeEmpty())
			}
		})
	}
})
