package breaker_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/breaker"
)

var _ = Describe("Breaker", func() {
	cases := []struct {
		name  string
		steps string
		want  breaker.State
	}{
		{"starts closed", "", breaker.Closed},
		{"stays closed below the count", "ff", breaker.Closed},
		{"counts only failures in a row", "ffsff", breaker.Closed},
		{"opens at the count", "fff", breaker.Open},
		{"turns half-open after a while", "fff.", breaker.HalfOpen},
		{"closes after a good trial", "fff.as", breaker.Closed},
		{"opens for twice as long after a bad trial", "fff.af.", breaker.Open},
		{"turns half-open after that", "fff.af..", breaker.HalfOpen},
		{"lets one trial pass at a time", "fff.aA", breaker.Open},
		{"lets another pass when the first gave no outcome", "fff.a.a", breaker.Open},
		{"lets nothing pass while it is open", "fffA", breaker.Open},
	}
	for _, tst := range cases {
		It(tst.name, func() {
			clk := clockwork.NewFakeClock()
			bre := breaker.New(breaker.Options{Failures: 3, OpenFor: time.Second, Clock: clk})
			acts := map[rune]func(){
				'f': func() { bre.Failure("b") },
				's': func() { bre.Success("b") },
				'a': func() { Expect(bre.Allow("b")).To(BeTrue()) },
				'A': func() { Expect(bre.Allow("b")).To(BeFalse()) },
				'.': func() { clk.Advance(time.Second) },
			}
			for _, step := range tst.steps {
				acts[step]()
			}
			Expect(bre.State("b")).To(Equal(tst.want))
			Expect(bre.Allow("other")).To(BeTrue())
		})
	}
})
