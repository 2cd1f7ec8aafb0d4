package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/platform/operatorfaker"
	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/router"
)

const (
	entryCount   = 7
	zoneCount    = 3
	program      = "target/lovagelever"
	startTimeout = 15 * time.Second
	// drainTime and stableTime are the bounds drain_ms and stable_ms of the first sites.
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
)

// entry is one entry process, with the links from it to the store.
type entry struct {
	name, ip string
	store    *link
	cmd      *exec.Cmd
	done     chan struct{}
}

// system is a small deployment on loopback addresses.
type system struct {
	rec     *record
	dir     string
	net     int
	sto     *storefaker.Faker
	entries []*entry
	workers []*worker
	// links has the link to each worker, by the worker's ID.
	links  map[string]*link
	number int
}

// newSystem starts the store, one worker in each zone and the entries, and waits until they are ready.
func newSystem(ctx context.Context, rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-stand-")
	if err != nil {
		return nil, err
	}
	sys := &system{rec: rec, dir: dir, links: map[string]*link{}}
	if err := sys.start(ctx); err != nil {
		sys.close()
		return nil, err
	}
	return sys, nil
}

func (sys *system) start(ctx context.Context) error {
	if err := sys.startStore(); err != nil {
		return err
	}
	if err := operatorfaker.New(sys.sto).Publish(config()); err != nil {
		return err
	}
	for range zoneCount {
		if err := sys.addWorker(ctx, len(sys.workers)%zoneCount); err != nil {
			return err
		}
	}
	for num := range entryCount {
		if err := sys.startEntry(ctx, num+1); err != nil {
			return err
		}
	}
	for _, ent := range sys.entries {
		if err := ent.awaitReady(ctx); err != nil {
			return err
		}
	}
	sys.rec.add("%d entries are ready", len(sys.entries))
	return nil
}

// startStore starts the store on a free network of loopback addresses.
func (sys *system) startStore() error {
	var err error
	for range 20 {
		sys.net = 60 + rand.IntN(150)
		sys.sto = storefaker.New(storefaker.Options{Address: sys.ip(9, 1) + ":7000"})
		if err = sys.sto.Start(); err == nil {
			return nil
		}
	}
	return err
}

func (sys *system) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", sys.net, third, fourth)
}

// config is a configuration with one safe route to the plain service.
func config() router.Config {
	return router.Config{
		Version: 1,
		Routes: []router.Route{{
			Name: "look", Host: host, Prefix: "/look/", Kind: router.Safe, Timeout: clientTimeout, Objective: 300 * time.Millisecond,
			Priority: 1, Attempts: 2, Targets: []router.Target{{Service: service, Weight: 1}},
		}},
		Services:   map[string]router.Service{service: {Name: service}},
		Workspaces: []router.Workspace{{Name: "w", Keys: []string{key}}},
		Limits:     router.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20},
	}
}

func zoneName(num int) string { return fmt.Sprintf("zone-%d", num%zoneCount) }

// addWorker starts a worker in a zone.
func (sys *system) addWorker(ctx context.Context, zone int) error {
	sys.number++
	id := fmt.Sprintf("i-%08x", sys.number)
	address, advertised := sys.ip(2, sys.number)+":9000", sys.ip(3, sys.number)+":9000"
	lin, err := newLink(ctx, advertised, address)
	if err != nil {
		return err
	}
	sys.links[id] = lin
	wor, err := newWorker(ctx, id, zoneName(zone), address, advertised, sys.sto.PutServer, sys.rec)
	if err != nil {
		return err
	}
	sys.workers = append(sys.workers, wor)
	sys.rec.add("%s is ready in %s at %s", id, wor.zone, advertised)
	return nil
}

func (sys *system) startEntry(ctx context.Context, num int) error {
	ent := &entry{name: fmt.Sprintf("edge-%d", num), ip: sys.ip(0, num), done: make(chan struct{})}
	var err error
	if ent.store, err = newLink(ctx, sys.ip(8, num)+":7000", sys.ip(9, 1)+":7000"); err != nil {
		return err
	}
	text := fmt.Sprintf(`name: %q
availability_zone: %q
region: "r"
address: %q
listen:
  callers: "%[3]s:8000"
  readiness: "%[3]s:8001"
  directory: "%[3]s:8002"
  entries: "%[3]s:8003"
  metrics: "%[3]s:9464"
  forwarding: "%[3]s:8005"
store:
  address: "%s:7000"
  shortest_lease: "1000ms"
memory_mb: 284
cpu_cores: 0.4
link_mbps: 1000
descriptors: 4100
bounds:
  stop_grace: "8s"
  longest_directory_validity: "5s"
  retry_ratio: 0.2
  retry_slack: 105
  retry_window: "10s"
  load_window: "5s"
`, ent.name, zoneName(num), ent.ip, sys.ip(8, num))
	file := filepath.Join(sys.dir, ent.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(sys.dir, ent.name+".log"))
	if err != nil {
		return err
	}
	ent.cmd = exec.CommandContext(ctx, program, "gate")
	ent.cmd.Env = append(os.Environ(), "LOVAGELEVER_SETTINGS="+file)
	ent.cmd.Stdout, ent.cmd.Stderr = log, log
	if err := ent.cmd.Start(); err != nil {
		return err
	}
	sys.entries = append(sys.entries, ent)
	go func() {
		defer close(ent.done)
		_ = ent.cmd.Wait()
		_ = log.Close()
	}()
	return nil
}

// awaitReady waits until the entry answers that it is ready.
func (ent *entry) awaitReady(ctx context.Context) error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if ent.ready(ctx) {
			return nil
		}
	}
	return errors.Timeoutf("stand: %s to be ready", ent.name)
}

func (ent *entry) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.ip+":8001/readyz", nil)
	if err != nil {
		return false
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// nameOf returns the name of the entry with an IP address.
func (sys *system) nameOf(ip string) string {
	for _, ent := range sys.entries {
		if ent.ip == ip {
			return ent.name
		}
	}
	return net.JoinHostPort(ip, "?")
}

// close ends the entries and all stand-ins.
func (sys *system) close() {
	for _, ent := range sys.entries {
		_ = ent.cmd.Process.Kill()
		<-ent.done
		ent.store.close()
	}
	for _, wor := range sys.workers {
		wor.close()
	}
	for _, lin := range sys.links {
		lin.close()
	}
	if sys.sto != nil {
		sys.sto.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs in "+sys.dir)
		return
	}
	_ = os.RemoveAll(sys.dir)
}
