package admitter_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

var _ = Describe("Concurrent use", func() {
	It("answers every request once and never exceeds the cold limit", func() {
		adm := admitter.New(admitter.Options{Clock: clockwork.NewFakeClock(), Queue: queuer.Options{Capacity: 8}})
		cfg := admitter.Config{Name: "u", State: admitter.Serving, ColdLimit: 3, WarmLimit: 3, NoPriorAdmissions: true}
		adm.Update(cfg)
		var running, peak, granted, refused atomic.Int64
		admitAndRelease := func(ctx context.Context, req admitter.Request) {
			tic, err := adm.Admit(ctx, req)
			if err != nil {
				Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
				refused.Add(1)
				return
			}
			granted.Add(1)
			now := running.Add(1)
			for was := peak.Load(); now > was && !peak.CompareAndSwap(was, now); was = peak.Load() {
			}
			running.Add(-1)
			Expect(adm.Release(tic.ID, limiter.Outcome{})).To(Succeed())
		}
		var grp sync.WaitGroup
		for wrk := range 12 {
			grp.Go(func() {
				defer GinkgoRecover()
				for num := range 300 {
					ctx, cancel := context.WithCancel(context.Background())
					if num%7 == 0 {
						cancel()
					}
					admitAndRelease(ctx, admitter.Request{ID: fmt.Sprint(wrk, "-", num), Unit: "u", Workspace: fmt.Sprint(wrk % 3), Suspect: num%5 == 0})
					cancel()
					if num%50 == 0 {
						adm.Quiesce("u")
						adm.Update(cfg)
						adm.Report("u", limiter.Report{})
					}
				}
			})
		}
		grp.Wait()
		Expect(granted.Load() + refused.Load()).To(BeEquivalentTo(3600))
		Expect(granted.Load()).To(BeNumerically(">", 0))
		Expect(peak.Load()).To(BeNumerically("<=", 3))
		sta, _ := adm.Status("u")
		Expect([]int{sta.Running, sta.Waiting}).To(Equal([]int{0, 0}))
	})
})

func benchmark(ben *testing.B, lim func(limiter.Options) admitter.Limiter) {
	adm := admitter.New(admitter.Options{NewLimiter: lim})
	adm.Update(admitter.Config{Name: "u", State: admitter.Serving, ColdLimit: 64, WarmLimit: 64, NoPriorAdmissions: true})
	adm.Report("u", limiter.Report{At: time.Now(), Started: "a"})
	for num := 0; ben.Loop(); num++ {
		tic, err := adm.Admit(context.Background(), admitter.Request{ID: fmt.Sprint(num), Unit: "u", Workspace: "w"})
		if err != nil {
			ben.Fatal(err)
		}
		_ = adm.Release(tic.ID, limiter.Outcome{})
	}
}

func BenchmarkAdmitRelease(ben *testing.B) {
	benchmark(ben, nil)
}

func BenchmarkAdmitReleaseUnlimited(ben *testing.B) {
	benchmark(ben, func(limiter.Options) admitter.Limiter { return limiter.NewUnlimited() })
}
