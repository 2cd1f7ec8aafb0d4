package burner_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/burner"
	"github.com/lovagelever/lovagelever/cataloger"
)

// A late first token consumes the error budget in the same way as a refused request.
func ExampleBurner() {
	bur := burner.New(clockwork.NewFakeClock())
	objective := cataloger.Objective{Target: 0.95, FirstTokenIn: cataloger.Duration(490 * time.Millisecond)}
	bur.Add("wards", "model", objective, burner.Result{Complete: true, FirstToken: 120 * time.Millisecond})
	bur.Add("wards", "model", objective, burner.Result{Complete: true, FirstToken: 800 * time.Millisecond})
	fmt.Printf("%+v\n", bur.Counts()[0].Windows["5m0s"])
	// Output: {Good:1 Total:2}
}
