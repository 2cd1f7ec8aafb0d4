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
	warmUp       = 20 * time.Second
	sampleTime   = 20 * time.Second
	probes       = 5
	// The target is the load of one day with 390 entries.
	targetEntries  = 390
	targetVMs      = 1200
	targetUnits    = 60
	targetRestarts = 590
	budgetBytes    = 6000
	maxSpreadTime  = 5 * time.Second
	// loadIntervalPerEntry, times the number of entries, is the interval at which a keeper publishes the load of a unit.
	loadIntervalPerEntry = 40 * time.Millisecond
	minLoadInterval      = time.Second
	// shutdownTime is long enough for every goroutine that still sleeps to end.
	shutdownTime = 10 * time.Minute
)

// cluster holds entries in one process that call each other directly and counts the bytes that they would send.
type cluster struct {
	vie      atomic.Pointer[reducer.View]
	mtx      sync.Mutex
	entries  map[string]*gossiper.Gossiper
	sizer    *gob.Encoder
	size     int
	bytes    atomic.Int64
	answered atomic.Int64
}

func (clu *cluster) Write(data []byte) (int, error) {
	clu.size += len(data)
	return len(data), nil
}

func (clu *cluster) count(val any) {
	clu.mtx.Lock()
	defer clu.mtx.Unlock()
	clu.size = 0
	if err := clu.sizer.Encode(val); err != nil {
		panic(err)
	}
	clu.bytes.Add(int64(clu.size + headerBytes))
}

func (clu *cluster) Exchange(_ context.Context, address string, req gossiper.Request) (gossiper.Answer, error) {
	clu.mtx.Lock()
	gos := clu.entries[address]
	clu.mtx.Unlock()
	clu.count(req)
	time.Sleep(networkDelay)
	ans := gos.Exchange(req)
	time.Sleep(networkDelay)
	clu.count(ans)
	clu.answered.Add(1)
	return ans, nil
}

func (clu *cluster) Snapshot(context.Context, string) (recorder.Snapshot, error) {
	return recorder.Snapshot{}, io.EOF
}

type clusterState struct {
	fixedState
	clu *cluster
}

func (sta clusterState) View() *reducer.View    { return sta.clu.vie.Load() }
func (sta clusterState) LastContact() time.Time { return time.Now() }

func incarnation(num, generation int) string {
	return fmt.Sprintf("019ae5d0-0000-7000-8000-%04d%08d", generation, num)
}

// join starts an entry, which may have the name of one that has left.
func (clu *cluster) join(ctx context.Context, num, generation int) *gossiper.Gossiper {
	inc := incarnation(num, generation)
	vie := *clu.vie.Load()
	vie.Members = maps.Clone(vie.Members)
	vie.Members[inc] = reducer.Member{Member: recorder.Member{Name: "entry-" + strconv.Itoa(num), Incarnation: inc, RPCAddress: inc}}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	gos := gossiper.New(gossiper.Options{State: clusterState{clu: clu}, Peers: clu, Clock: clockwork.NewRealClock(), Logger: quiet, Interval: time.Second}, inc)
	clu.mtx.Lock()
	clu.entries[inc] = gos
	clu.mtx.Unlock()
	clu.vie.Store(&vie)
	go func() {
		time.Sleep(rand.N(time.Second))
		gos.Run(ctx)
	}()
	return gos
}

func (clu *cluster) leave(num, generation int) {
	vie := *clu.vie.Load()
	vie.Members = maps.Clone(vie.Members)
	delete(vie.Members, incarnation(num, generation))
	clu.vie.Store(&vie)
}

func body(size int) []byte {
	return []byte(strings.Repeat("x", size-20) + fmt.Sprintf("%020d", rand.Uint64()))
}

func scaleToSize(count, size int) int {
	return max(1, count*size/targetEntries)
}

func newCluster(ctx context.Context, size int) (*cluster, []*gossiper.Gossiper) {
	clu := &cluster{entries: map[string]*gossiper.Gossiper{}}
	clu.sizer = gob.NewEncoder(clu)
	clu.vie.Store(reducer.NewState().View())
	var all []*gossiper.Gossiper
	for num := range size {
		all = append(all, clu.join(ctx, num, 0))
	}
	for num, gos := range all {
		gos.Set("entry", body(100))
		gos.Set("leaving", []byte("{}"))
		for one := num; one < scaleToSize(targetVMs, size); one += size {
			gos.Set("vm/vm-"+strconv.Itoa(one), body(150))
		}
		if num < scaleToSize(targetUnits, size) {
			gos.Set("unit/group-"+strconv.Itoa(num), body(150))
		}
	}
	return clu, all
}

// generateChanges updates facts at the rates of the target until the context ends; the fact of each unit is updated
// once every unitEvery.
func generateChanges(ctx context.Context, all []*gossiper.Gossiper, unitEvery time.Duration) {
	size := len(all)
	repeat := func(every time.Duration, set func(num int)) {
		for num := 0; ctx.Err() == nil; num++ {
			time.Sleep(every)
			set(num)
		}
	}
	go repeat(5*time.Minute/time.Duration(size), func(num int) { all[num%size].Set("entry", body(100)) })
	vms := scaleToSize(targetVMs, size)
	go repeat(100*time.Minute/time.Duration(vms), func(num int) { all[num%vms%size].Set("vm/vm-"+strconv.Itoa(num%vms), body(150)) })
	units := scaleToSize(targetUnits, size)
	go repeat(unitEvery/time.Duration(units), func(num int) {
		all[num%units].Set("unit/group-"+strconv.Itoa(num%units), body(150))
	})
}

// measurePerEntry returns per entry the bytes sent and received and the exchanges answered, both per second, and the
// fraction of a core used.
func (clu *cluster) measurePerEntry(size int, over time.Duration) (rate, exchanges, core float64) {
	bytes, answered, used := clu.bytes.Load(), clu.answered.Load(), processorTime()
	time.Sleep(over)
	per := float64(size) * over.Seconds()
	return 2 * float64(clu.bytes.Load()-bytes) / per, float64(clu.answered.Load()-answered) / per, (processorTime() - used).Seconds() / per
}

func processorTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// measureSpread returns how long a new fact of one random entry takes to reach all entries, at most a minute.
func measureSpread(all []*gossiper.Gossiper) time.Duration {
	from := all[rand.IntN(len(all))]
	want := body(40)
	from.Set("probe", want)
	begun := time.Now()
	for {
		missing := slices.ContainsFunc(all, func(gos *gossiper.Gossiper) bool {
			got, _ := gos.Get("probe", from.Self())
			return string(got) != string(want)
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
	clu, all := newCluster(ctx, size)
	time.Sleep(warmUp)
	cos.idle, _, _ = clu.measurePerEntry(size, sampleTime)
	generateChanges(ctx, all, unitEvery)
	time.Sleep(time.Second)
	cos.loaded, cos.exchanges, cos.core = clu.measurePerEntry(size, sampleTime)
	var took []time.Duration
	for range probes {
		took = append(took, measureSpread(all))
	}
	slices.Sort(took)
	cos.median, cos.worst = took[len(took)/2], took[len(took)-1]
	before := clu.bytes.Load()
	clu.leave(size-1, 0)
	time.Sleep(5 * time.Second)
	clu.join(ctx, size-1, 1)
	time.Sleep(5 * time.Second)
	extra := 2*float64(clu.bytes.Load()-before)/float64(size) - 10*cos.loaded
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
		unitEvery := max(minLoadInterval, time.Duration(size)*loadIntervalPerEntry)
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			cos := measure(ctx, size, unitEvery)
			stop()
			time.Sleep(shutdownTime)
			t.Logf("%3d entries: idle %6.0f B/s, changing %6.0f B/s, restarts %5.0f B/s, %5.1f pulls/s, %.3f%% of a core, median spread time %v (worst %v)",
				size, cos.idle, cos.loaded, cos.restart, cos.exchanges, 100*cos.core, cos.median, cos.worst)
			ome := NewGomega(func(text string, _ ...int) { t.Error(text) })
			ome.Expect(cos.worst).To(BeNumerically("<=", maxSpreadTime))
			ome.Expect(cos.loaded + cos.restart).To(BeNumerically("<=", budgetBytes))
		})
	}
}
