package gossiper_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	headerBytes  = 80
	networkDelay = 2 * time.Millisecond
	settle       = 20 * time.Second
	sampled      = 20 * time.Second
	probes       = 5
	// The target: what a day brings at 390 entries.
	targetEntries  = 390
	targetVMs      = 1200
	targetUnits    = 60
	targetRestarts = 590
	budgetBytes    = 6000
	knownIn        = 5 * time.Second
	// loadPerEntry, times the entries, is how far apart a keeper's facts of a unit's load are.
	loadPerEntry = 40 * time.Millisecond
	loadApart    = time.Second
	// allEnded is when whatever still sleeps has ended.
	allEnded = 10 * time.Minute
)

// site is one process's worth of entries that call each other directly.
type site struct {
	vie      atomic.Pointer[reducer.View]
	mtx      sync.Mutex
	entries  map[string]*gossiper.Gossiper
	sizer    *gob.Encoder
	size     int
	bytes    atomic.Int64
	answered atomic.Int64
}

func (sit *site) Write(data []byte) (int, error) {
	sit.size += len(data)
	return len(data), nil
}

func (sit *site) count(val any) {
	sit.mtx.Lock()
	defer sit.mtx.Unlock()
	sit.size = 0
	if err := sit.sizer.Encode(val); err != nil {
		panic(err)
	}
	sit.bytes.Add(int64(sit.size + headerBytes))
}

func (sit *site) Exchange(_ context.Context, address string, req gossiper.Request) (gossiper.Answer, error) {
	sit.mtx.Lock()
	gos := sit.entries[address]
	sit.mtx.Unlock()
	sit.count(req)
	time.Sleep(networkDelay)
	ans := gos.Exchange(req)
	time.Sleep(networkDelay)
	sit.count(ans)
	sit.answered.Add(1)
	return ans, nil
}

func (sit *site) Snapshot(context.Context, string) (recorder.Snapshot, error) {
	return recorder.Snapshot{}, io.EOF
}

type siteState struct {
	fixedState
	sit *site
}

func (sta siteState) View() *reducer.View { return sta.sit.vie.Load() }
func (sta siteState) Contact() time.Time  { return time.Now() }

func incarnation(num, life int) string {
	return fmt.Sprintf("019ae5d0-0000-7000-8000-%04d%08d", life, num)
}

// join starts an entry in place of what has its name.
func (sit *site) join(ctx context.Context, num, life int) *gossiper.Gossiper {
	inc := incarnation(num, life)
	vie := *sit.vie.Load()
	vie.Members = maps.Clone(vie.Members)
	vie.Members[inc] = reducer.Member{Member: recorder.Member{Name: "entry-" + strconv.Itoa(num), Incarnation: inc, RPCAddress: inc}}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	gos := gossiper.New(gossiper.Options{State: siteState{sit: sit}, Peers: sit, Clock: clockwork.NewRealClock(), Logger: quiet, Interval: time.Second}, inc)
	sit.mtx.Lock()
	sit.entries[inc] = gos
	sit.mtx.Unlock()
	sit.vie.Store(&vie)
	go func() {
		time.Sleep(rand.N(time.Second))
		gos.Run(ctx)
	}()
	return gos
}

func (sit *site) leave(num, life int) {
	vie := *sit.vie.Load()
	vie.Members = maps.Clone(vie.Members)
	delete(vie.Members, incarnation(num, life))
	sit.vie.Store(&vie)
}

func body(size int) []byte {
	return []byte(strings.Repeat("x", size-20) + fmt.Sprintf("%020d", rand.Uint64()))
}

func share(count, size int) int {
	return max(1, count*size/targetEntries)
}

func newSite(ctx context.Context, size int) (*site, []*gossiper.Gossiper) {
	sit := &site{entries: map[string]*gossiper.Gossiper{}}
	sit.sizer = gob.NewEncoder(sit)
	sit.vie.Store(reducer.NewState().View())
	var all []*gossiper.Gossiper
	for num := range size {
		all = append(all, sit.join(ctx, num, 0))
	}
	for num, gos := range all {
		gos.Set("entry", body(100))
		gos.Set("leaving", []byte("{}"))
		for one := num; one < share(targetVMs, size); one += size {
			gos.Set("vm/vm-"+strconv.Itoa(one), body(150))
		}
		if num < share(targetUnits, size) {
			gos.Set("unit/group-"+strconv.Itoa(num), body(150))
		}
	}
	return sit, all
}

// change states facts anew at the rates of the target until the context ends; each unit's every unitEvery.
func change(ctx context.Context, all []*gossiper.Gossiper, unitEvery time.Duration) {
	size := len(all)
	often := func(every time.Duration, set func(num int)) {
		for num := 0; ctx.Err() == nil; num++ {
			time.Sleep(every)
			set(num)
		}
	}
	go often(5*time.Minute/time.Duration(size), func(num int) { all[num%size].Set("entry", body(100)) })
	vms := share(targetVMs, size)
	go often(100*time.Minute/time.Duration(vms), func(num int) { all[num%vms%size].Set("vm/vm-"+strconv.Itoa(num%vms), body(150)) })
	units := share(targetUnits, size)
	go often(unitEvery/time.Duration(units), func(num int) {
		all[num%units].Set("unit/group-"+strconv.Itoa(num%units), body(150))
	})
}

// perNode is how many bytes a second each entry sends and receives over a time, beside the exchanges and the share of a core.
func (sit *site) perNode(size int, over time.Duration) (rate, exchanges, core float64) {
	bytes, answered, used := sit.bytes.Load(), sit.answered.Load(), processorTime()
	time.Sleep(over)
	per := float64(size) * over.Seconds()
	return 2 * float64(sit.bytes.Load()-bytes) / per, float64(sit.answered.Load()-answered) / per, (processorTime() - used).Seconds() / per
}

func processorTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// spread is how long it takes until every entry has what one of them says.
func spread(all []*gossiper.Gossiper) time.Duration {
	from := all[rand.IntN(len(all))]
	said := body(40)
	from.Set("probe", said)
	begun := time.Now()
	for {
		missing := slices.ContainsFunc(all, func(gos *gossiper.Gossiper) bool {
			got, _ := gos.Get("probe", from.Self())
			return string(got) != string(said)
		})
		if !missing {
			return time.Since(begun)
		}
		if time.Since(begun) > time.Minute {
			return time.Minute
		}
		time.Sleep(50 * time.Millisecond)
	}
}

type cost struct {
	idle, loaded, exchanges, core float64
	restart                       float64
	median, worst                 time.Duration
}

func measure(ctx context.Context, size int, unitEvery time.Duration) cost {
	var cos cost
	sit, all := newSite(ctx, size)
	time.Sleep(settle)
	cos.idle, _, _ = sit.perNode(size, sampled)
	change(ctx, all, unitEvery)
	time.Sleep(time.Second)
	cos.loaded, cos.exchanges, cos.core = sit.perNode(size, sampled)
	var took []time.Duration
	for range probes {
		took = append(took, spread(all))
	}
	slices.Sort(took)
	cos.median, cos.worst = took[len(took)/2], took[len(took)-1]
	before := sit.bytes.Load()
	sit.leave(size-1, 0)
	time.Sleep(5 * time.Second)
	sit.join(ctx, size-1, 1)
	time.Sleep(5 * time.Second)
	extra := 2*float64(sit.bytes.Load()-before)/float64(size) - 10*cos.loaded
	cos.restart = extra * float64(targetRestarts) * float64(size) / targetEntries / (24 * time.Hour).Seconds()
	return cos
}

func sizes() []int {
	out := []int{7, 14, 56}
	if list := os.Getenv("LOVAGELEVER_SIZES"); list != "" {
		out = nil
		for _, text := range strings.Split(list, ",") {
			size, err := strconv.Atoi(text)
			if err != nil {
				panic(err)
			}
			out = append(out, size)
		}
	}
	return out
}

func TestCost(t *testing.T) {
	for _, size := range sizes() {
		unitEvery := max(loadApart, time.Duration(size)*loadPerEntry)
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			cos := measure(ctx, size, unitEvery)
			stop()
			time.Sleep(allEnded)
			t.Logf("%3d entries: idle %6.0f B/s, changing %6.0f B/s, restarts %5.0f B/s, %5.1f pulls/s, %.3f%% of a core, known after %v (worst %v)",
				size, cos.idle, cos.loaded, cos.restart, cos.exchanges, 100*cos.core, cos.median, cos.worst)
			ome := NewGomega(func(text string, _ ...int) { t.Error(text) })
			ome.Expect(cos.worst).To(BeNumerically("<=", knownIn))
			ome.Expect(cos.loaded + cos.restart).To(BeNumerically("<=", budgetBytes))
		})
	}
}
