//go:build soak

package prover

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/platform/callerfaker"
	"github.com/lovagelever/lovagelever/platform/operatorfaker"
	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/platform/workerfaker"
	"github.com/lovagelever/lovagelever/router"
)

const (
	gateCount        = 5
	gateZones        = 3
	enginesPerZone   = 6
	desksPerZone     = 1
	gateCallers      = 12
	storePort        = "7000"
	gateHost         = "gate.example"
	gateKey          = "key-1"
	poolService      = "pool"
	deskService      = "desk"
	gateStopGrace    = 8 * time.Second
	gateMemoryMB     = 184
	gateStartTimeout = 15 * time.Second
	streamWork       = 30 * time.Millisecond
	streamWorkPerRun = time.Millisecond
	deskWork         = 40 * time.Millisecond
	coldRate         = 8
	coldBurst        = coldRate*3/2 + 5
	maxConfigDelay   = 2 * time.Second
)

// gates is a deployment of entries on the platform. The entries are separate processes; the store, the workers, the operator and the callers run inside the test.
type gates struct {
	// ctx ends with the spec.
	ctx context.Context
	dir string
	ntw *network
	sto *storefaker.Faker
	wor *workerfaker.Faker
	ope *operatorfaker.Operator
	cfg router.Config

	mtx   sync.Mutex
	procs map[int]*process
	// builds are the programs of which buildRNG selects that of each process, if there is more than one.
	builds     []string
	buildRNG   *rand.Rand
	faultSpans map[int][]span
	sends      []gateSend
	// storeMtx guards the fields below: storeUnreachable is set while the store answers no entry, and storeReachableSince is when that last ended.
	storeMtx            sync.Mutex
	storeUnreachable    bool
	storeReachableSince time.Time
	// disturbances counts the faults that disturb each entry now, and calmSince is when its last one ended, by IP address.
	disturbances map[string]int
	calmSince    map[string]time.Time
}

// gateSend is one attempt at a call and its outcome.
type gateSend struct {
	callerfaker.Attempt
	kind router.Kind
	// untilEnd says that the caller goes on using the entry's address until its process has ended.
	untilEnd bool
}

// gateNet is the second octet of the loopback addresses of the entries and the store. The workers use the next one, and the links to them the one after.
var gateNet = netNumber()

var (
	storeIP   = fmt.Sprintf("127.%d.9.1", gateNet)
	storeLink = fmt.Sprintf("127.%d.9.2:7000", gateNet)
)

func gateIP(num int) string { return fmt.Sprintf("127.%d.0.%d", gateNet, num) }

func gateZone(num int) string { return fmt.Sprintf("zone-%d", num%gateZones) }

func workerIP(zone, num int) string { return fmt.Sprintf("127.%d.%d.%d", gateNet+1, zone, num+1) }

func workerLink(zone, num int) string { return fmt.Sprintf("127.%d.%d.%d", gateNet+2, zone, num+1) }

func workerID(zone, num int) string { return fmt.Sprintf("worker-%d-%d", zone, num) }

// gateConfig returns the initial configuration; addRoute later appends one route to it.
func gateConfig() router.Config {
	route := func(name string, kind router.Kind, service string) router.Route {
		return router.Route{
			Name: name, Host: gateHost, Prefix: "/" + name + "/", Kind: kind, Resumable: kind == router.Stream, Timeout: 6 * time.Second,
			Objective: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Priority: 1, Attempts: 3,
			Targets: []router.Target{{Service: service, Weight: 1}},
		}
	}
	engine := router.Engine{
		Slots: 16, StepsPerPass: 5, Step: 8 * time.Millisecond, StepPerRequest: 100 * time.Microsecond, PromptTokensPerSecond: 45000, LoadsPerSecond: 5,
		Models: []router.Model{
			{Name: "large", Size: 3, Share: 0.5, TimeFactor: 1, StoreLoadTime: workerfaker.DefaultLoadTime, HostLoadTime: workerfaker.DefaultStagedLoadTime},
			{Name: "small", Size: 2, Share: 0.5, TimeFactor: 0.6, StoreLoadTime: workerfaker.DefaultLoadTime, HostLoadTime: workerfaker.DefaultStagedLoadTime},
		},
	}
	return router.Config{
		Version: 1,
		Routes:  []router.Route{route("chat", router.Stream, poolService), route("book", router.Unsafe, deskService), route("look", router.Safe, deskService)},
		Services: map[string]router.Service{
			poolService: {Name: poolService, ColdRequestsPerSecond: coldRate, Engine: &engine},
			deskService: {Name: deskService, ColdRequestsPerSecond: coldRate},
		},
		Workspaces: []router.Workspace{{Name: "w", Keys: []string{gateKey}}},
		Limits:     router.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20},
	}
}

// newGates starts the store, the workers and the entries, and waits until both models are served.
func newGates(rng *rand.Rand) *gates {
	dir, err := filepath.Abs(filepath.Join("..", "run", "prover", fmt.Sprint(gateNet), strings.ReplaceAll(CurrentSpecReport().LeafNodeText, " ", "_")))
	Expect(err).NotTo(HaveOccurred())
	Expect(os.RemoveAll(dir)).To(Succeed())
	Expect(os.MkdirAll(dir, 0o755)).To(Succeed())
	gts := &gates{ctx: GinkgoT().Context(), dir: dir, ntw: newNetwork(), cfg: gateConfig(), procs: map[int]*process{}, faultSpans: map[int][]span{}, disturbances: map[string]int{}, calmSince: map[string]time.Time{}}
	DeferCleanup(gts.close)
	gts.sto = storefaker.New(storefaker.Options{Address: storeIP + ":" + storePort, Retain: 2000})
	Expect(gts.sto.Start()).To(Succeed())
	if other := os.Getenv(otherBuildVariable); other != "" {
		gts.builds = []string{"lovagelever", other}
		gts.buildRNG = rand.New(rand.NewPCG(rng.Uint64(), 3))
	}
	gts.ntw.forwardEdited(storeLink, storeIP, storePort, linkEntries)
	for num := 1; num <= gateCount; num++ {
		gts.ntw.forwardDatagrams(gateIP(num)+":8103", gateIP(num)+":8003")
		gts.ntw.forward(gateIP(num)+":8103", gateIP(num), "8003")
		gts.ntw.forward(gateIP(num)+":8105", gateIP(num), "8005")
	}
	gts.ope = operatorfaker.New(gts.sto)
	Expect(gts.ope.Publish(gts.cfg)).To(Succeed())
	gts.startWorkers(rng)
	for num := 1; num <= gateCount; num++ {
		gts.startGate(num)
	}
	gts.awaitServing()
	return gts
}

// linkEntries replaces the ports at which entries register for other entries by those of the proxy.
func linkEntries(data []byte) {
	for _, port := range []string{":8003\"", ":8005\""} {
		for pos := 0; ; {
			idx := bytes.Index(data[pos:], []byte(port))
			if idx < 0 {
				break
			}
			pos += idx + len(port)
			data[pos-len("003\"")] = '1'
		}
	}
}

func (gts *gates) startWorkers(rng *rand.Rand) {
	gts.wor = workerfaker.New(workerfaker.Options{
		PublishServer: gts.sto.PutServer, NoticeKnownSince: gts.storeReachableFrom, EntryCalmSince: gts.entryCalmSince, GroupSizes: map[string]int{"large": 3, "small": 2}, ColdRequestsPerSecond: coldBurst, Random: rand.New(rand.NewPCG(rng.Uint64(), 2)),
	})
	for zone := range gateZones {
		for num := range enginesPerZone + desksPerZone {
			ip, link := workerIP(zone, num), workerLink(zone, num)
			gts.ntw.forward(link+":9000", ip, "9000")
			spc := workerfaker.Spec{
				ID: workerID(zone, num), Service: poolService, Zone: gateZone(zone), Domain: fmt.Sprintf("domain-%d", zone),
				Address: ip + ":9000", Advertised: link + ":9000", Slots: 16, WorkTime: streamWork, WorkTimePerRun: streamWorkPerRun,
			}
			if num >= enginesPerZone {
				spc.Service, spc.Domain, spc.WorkTime, spc.WorkTimePerRun = deskService, "", deskWork, 0
			}
			Expect(gts.wor.Add(spc)).To(Succeed())
		}
	}
}

// storeReachableFrom returns since when entries can read the store, or the current time while they cannot.
// A notice that the store accepted while it was unreachable binds the entries only from that time on.
func (gts *gates) storeReachableFrom() time.Time {
	gts.storeMtx.Lock()
	defer gts.storeMtx.Unlock()
	if gts.storeUnreachable {
		return time.Now()
	}
	return gts.storeReachableSince
}

// entryCalmSince returns since when the entry at an IP address is undisturbed, or the current time while it is disturbed.
func (gts *gates) entryCalmSince(ip string) time.Time {
	gts.storeMtx.Lock()
	defer gts.storeMtx.Unlock()
	if gts.disturbances[ip] > 0 {
		return time.Now()
	}
	return gts.calmSince[ip]
}

// disturb adds by to the number of faults that disturb an entry.
func (gts *gates) disturb(ip string, by int) {
	gts.storeMtx.Lock()
	defer gts.storeMtx.Unlock()
	gts.disturbances[ip] += by
	gts.calmSince[ip] = time.Now()
}

func (gts *gates) setStoreUnreachable(unreachable bool) {
	gts.storeMtx.Lock()
	defer gts.storeMtx.Unlock()
	if gts.storeUnreachable && !unreachable {
		gts.storeReachableSince = time.Now()
	}
	gts.storeUnreachable = unreachable
}

func (gts *gates) startGate(num int) {
	ip := gateIP(num)
	text := fmt.Sprintf(`name: gate-%d
availability_zone: %s
region: r
address: %s
listen: {callers: "%[3]s:8000", readiness: "%[3]s:8001", directory: "%[3]s:8002", entries: "%[3]s:8003", metrics: "%[3]s:8004", forwarding: "%[3]s:8005"}
store: {address: %q, shortest_lease: 1000ms}
memory_mb: %d
bounds: {stop_grace: %v, longest_directory_validity: 5s, retry_ratio: 0.2, retry_slack: 105, retry_window: 10s, load_window: 5s}
`, num, gateZone(num), ip, storeLink, gateMemoryMB, gateStopGrace)
	file := filepath.Join(gts.dir, fmt.Sprintf("gate-%d.yaml", num))
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	gts.mtx.Lock()
	defer gts.mtx.Unlock()
	program := "lovagelever"
	if len(gts.builds) > 0 {
		program = gts.builds[gts.buildRNG.IntN(len(gts.builds))]
	}
	gts.procs[num] = startProcess(gts.dir, fmt.Sprintf("gate-%d", num), program, "gate", "--settings", file)
}

func (gts *gates) gate(num int) *process {
	gts.mtx.Lock()
	defer gts.mtx.Unlock()
	return gts.procs[num]
}

func (gts *gates) ready(num int) bool {
	cli := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := cli.Get("http://" + gateIP(num) + ":8001/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (gts *gates) awaitReady(num int) {
	Eventually(func() bool { return gts.ready(num) }, gateStartTimeout, 50*time.Millisecond).Should(BeTrue(), "gate-%d is ready", num)
}

func (gts *gates) awaitServing() {
	for num := 1; num <= gateCount; num++ {
		gts.awaitReady(num)
	}
	Eventually(gts.wor.ServingGroups, gateStartTimeout, 100*time.Millisecond).Should(And(HaveKey("large"), HaveKey("small")))
}

// load starts callers that send calls until the returned function stops them. A third of the callers stay with one entry while it is reachable.
func (gts *gates) load(rng *rand.Rand) func() {
	done := make(chan struct{})
	calls := []callerfaker.Call{
		{Kind: router.Stream, Path: "/chat/x", Model: "large", Body: "prompt", Timeout: 5 * time.Second},
		{Kind: router.Stream, Path: "/chat/x", Model: "small", Body: "prompt", Timeout: 5 * time.Second},
		{Kind: router.Unsafe, Path: "/book/x", Body: "seat", Timeout: 3 * time.Second},
		{Kind: router.Safe, Path: "/look/x", Body: "seat", Timeout: 3 * time.Second},
	}
	var all sync.WaitGroup
	for num := range gateCallers {
		own := rand.New(rand.NewPCG(rng.Uint64(), 3))
		var dirs []string
		for _, idx := range own.Perm(gateCount)[:3] {
			dirs = append(dirs, gateIP(idx+1)+":8002")
		}
		cal := callerfaker.New(callerfaker.Options{
			Name: fmt.Sprintf("%s-%d", newUUID(), num), Directories: dirs, Zone: gateZone(num), Host: gateHost, Key: gateKey, Sticky: num%3 == 0, Random: own,
		})
		one := calls[num%len(calls)]
		all.Go(func() { gts.call(done, cal, one, own) })
	}
	return func() {
		close(done)
		all.Wait()
	}
}

func (gts *gates) call(done chan struct{}, cal *callerfaker.Caller, one callerfaker.Call, own *rand.Rand) {
	gts.callEach(done, cal, func() callerfaker.Call { return one }, own, false)
}

// callEach sends one call after another until it is stopped.
func (gts *gates) callEach(done chan struct{}, cal *callerfaker.Caller, next func() callerfaker.Call, own *rand.Rand, untilEnd bool) {
	for {
		select {
		case <-done:
			return
		default:
		}
		one := next()
		out := cal.Do(gts.ctx, one)
		gts.mtx.Lock()
		for _, att := range out {
			gts.sends = append(gts.sends, gateSend{Attempt: att, kind: one.Kind, untilEnd: untilEnd})
		}
		gts.mtx.Unlock()
		time.Sleep(randomDuration(own, 0, 60*time.Millisecond))
	}
}

// expectGuarantees checks the records of callers and backend servers: no wrong answer, no run of a refused call, and no second run of an unsafe one.
func (gts *gates) expectGuarantees() {
	gts.mtx.Lock()
	defer gts.mtx.Unlock()
	counts := map[string]int{}
	var broken []string
	for _, snd := range gts.sends {
		runs := gts.wor.Runs(snd.ID)
		counts[fmt.Sprintf("%s %d", snd.kind, snd.Status)]++
		if snd.Violation != "" {
			broken = append(broken, fmt.Sprintf("%s sent to %s: %s", snd.ID, snd.Entry, snd.Violation))
		}
		if snd.Refused() && runs > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused by %s with status %d but ran", snd.ID, snd.Entry, snd.Status))
		}
		if snd.kind == router.Unsafe && runs > 1 {
			broken = append(broken, fmt.Sprintf("%s sent to %s ran %d times", snd.ID, snd.Entry, runs))
		}
	}
	report("attempts by kind and status: %v", counts)
	Expect(broken).To(BeEmpty())
	Expect(gts.wor.Violations()).To(BeEmpty())
}

// successShareSince returns the share of complete answers among the attempts that began at or after a time.
func (gts *gates) successShareSince(since time.Time) float64 {
	gts.mtx.Lock()
	defer gts.mtx.Unlock()
	all, whole := 0, 0
	for _, snd := range gts.sends {
		if snd.StartedAt.Before(since) {
			continue
		}
		all++
		if snd.Complete {
			whole++
		}
	}
	return float64(whole) / float64(max(1, all))
}

func (gts *gates) close() {
	gts.mtx.Lock()
	procs := maps.Clone(gts.procs)
	gts.mtx.Unlock()
	for _, pro := range procs {
		pro.signal(syscall.SIGKILL)
	}
	for _, pro := range procs {
		Eventually(pro.done, exitTimeout).Should(BeClosed(), "exit of "+pro.name)
	}
	gts.ntw.close()
	if gts.wor != nil {
		gts.wor.Close()
	}
	gts.sto.Close()
}
