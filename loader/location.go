package loader

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/requester"
)

// locations keeps the answers of locate for as long as they say.
type locations struct {
	entries []string
	clk     clockwork.Clock
	mtx     sync.Mutex
	turn    int
	known   map[string]located
}

type located struct {
	requester.Location
	until time.Time
}

func newLocations(entries []string, clk clockwork.Clock) *locations {
	return &locations{entries: entries, clk: clk, known: map[string]located{}}
}

// of returns where to send a request; an old answer serves while no entry gives a new one.
func (loc *locations) of(ctx context.Context, workspace, model string) (requester.Location, error) {
	key := workspace + "/" + model
	loc.mtx.Lock()
	one, found := loc.known[key]
	loc.turn++
	first := loc.turn % len(loc.entries)
	loc.mtx.Unlock()
	if found && loc.clk.Now().Before(one.until) {
		return one.Location, nil
	}
	order := append(append([]string{}, loc.entries[first:]...), loc.entries[:first]...)
	req, err := requester.New(order)
	if err != nil {
		return requester.Location{}, err
	}
	ans, err := req.Locate(ctx, workspace, model)
	if err != nil {
		return one.Location, err
	}
	loc.mtx.Lock()
	defer loc.mtx.Unlock()
	loc.known[key] = located{Location: ans, until: loc.clk.Now().Add(time.Duration(ans.ValidMS) * time.Millisecond)}
	return ans, nil
}
