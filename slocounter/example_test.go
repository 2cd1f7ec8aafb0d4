package slocounter_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/slocounter"
)

// A late first token consumes the error budget in the same way as a refused request.
func ExampleCounter() {
	bur := slocounter.New(clockwork.NewFakeClock())
	objective := cataloger.Objective{Target: 0.95, FirstTokenIn: cataloger.Duration(490 * time.Millisecond)}
	bur.Add("wards", "model", objective, slocounter.Result{Complete: true, FirstToken: 120 * time.Millisecond})
	bur.Add("wards", "model", objective, slocounter.Result{Complete: true, FirstToken: 800 * time.Millisecond})
	fmt.Printf("%+v\n", bur.Counts()[0].Windows["5m0s"])
	// Output: {Good:1 Total:2}
}
