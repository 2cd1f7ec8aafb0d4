package admitter_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/refuser"
)

// A cold unit runs at most as many requests as its cold limit; the next request is admitted after a ticket is released.
func ExampleAdmitter() {
	adm := admitter.New(admitter.Options{Incarnation: "entry-1", Clock: clockwork.NewRealClock()})
	adm.Update(admitter.Config{Name: "group-1", Fence: 7, State: admitter.Serving, ColdLimit: 1, WarmLimit: 8, NoPriorAdmissions: true})
	ask := func(id string) (admitter.Ticket, error) {
		return adm.Admit(context.Background(), admitter.Request{ID: id, Holder: "entry-1", Unit: "group-1", Workspace: "wards", Weight: 1, Cost: 1, Within: 50 * time.Millisecond})
	}
	first, err := ask("one")
	fmt.Println(first.Fence, err)
	_, err = ask("two")
	fmt.Println(refuser.FromError(err).Type)
	fmt.Println(adm.Release(first.ID, limiter.Outcome{Step: time.Millisecond}))
	_, err = ask("three")
	fmt.Println(err)
	// Output:
	// 7 <nil>
	// not_run
	// <nil>
	// <nil>
}
