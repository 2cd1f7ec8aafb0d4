package loader

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/requester"
)

// locationCache caches located entries for as long as they are valid.
type locationCache struct {
	entries []string
	clk     clockwork.Clock
	mtx     sync.Mutex
	lookups int
	cached  map[string]cachedLocation
}

type cachedLocation struct {
	requester.Location
	expires time.Time
}

func newLocationCache(entries []string, clk clockwork.Clock) *locationCache {
	return &locationCache{entries: entries, clk: clk, cached: map[string]cachedLocation{}}
}

// locate returns where to send a request; if no entry answers, it returns the error with the expired location, if there is one.
func (loc *locationCache) locate(ctx context.Context, workspace, model string) (requester.Location, error) {
	key := workspace + "/" + model
	loc.mtx.Lock()
	cached, found := loc.cached[key]
	loc.lookups++
	first := loc.lookups % len(loc.entries)
	loc.mtx.Unlock()
	if found && loc.clk.Now().Before(cached.expires) {
		return cached.Location, nil
	}
	order := append(append([]string{}, loc.entries[first:]...), loc.entries[:first]...)
	req, err := requester.New(order)
	if err != nil {
		return requester.Location{}, err
	}
	ans, err := req.Locate(ctx, workspace, model)
	if err != nil {
		return cached.Location, err
	}
	loc.mtx.Lock()
	defer loc.mtx.Unlock()
	loc.cached[key] = cachedLocation{Location: ans, expires: loc.clk.Now().Add(time.Duration(ans.ValidMS) * time.Millisecond)}
	return ans, nil
}
