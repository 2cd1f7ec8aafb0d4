package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/dispatcher"
)

// BenchmarkAcquire measures one Acquire and Release, the dispatcher's overhead for each request.
func BenchmarkAcquire(ben *testing.B) {
	for _, num := range []int{18, 90, 600} {
		ben.Run(fmt.Sprint(num, " units"), func(ben *testing.B) {
			clk := clockwork.NewRealClock()
			dis := dispatcher.New(dispatcher.Options{Zone: "z0", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk})})
			var units []dispatcher.Unit
			for idx := range num {
				units = append(units, dispatcher.Unit{ID: fmt.Sprint("u", idx), Pool: "p", Zone: fmt.Sprint("z", idx%3), Slots: 17})
			}
			dis.SetUnits(units)
			req := dispatcher.Request{ID: "r", Pool: "p", Cost: 1, StartBy: time.Now().Add(time.Hour), Deadline: time.Now().Add(time.Hour)}
			ben.ReportAllocs()
			for ben.Loop() {
				pla, err := dis.Acquire(context.Background(), req)
				if err != nil {
					ben.Fatal(err)
				}
				pla.Release(dispatcher.Outcome{Result: dispatcher.Served, Duration: time.Second})
			}
		})
	}
}
