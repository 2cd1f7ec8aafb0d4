package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/review/rig"
)

const (
	gateCount = 3
	workers   = 3
	settling  = 3 * time.Second
	// bound is stable_ms after the freeze and config_ms more, with a margin.
	bound  = 6 * time.Second
	freeze = 4 * time.Second
	// The operator writes one configuration each gap, maxBytes at most.
	versions = 11
	gap      = 330 * time.Millisecond
	further  = 1250
	maxBytes = 262144
	other    = "key-that-stays"
)

func main() {
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("CONFIG broken")
		os.Exit(1)
	}
	fmt.Println("CONFIG held")
}

func run(path string, trouble bool) (broken bool, err error) {
	rec, err := rig.NewRecord(path)
	if err != nil {
		return false, err
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-longread-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sto := storefaker.New(storefaker.Options{Address: "127.0.0.1:0"})
	if err := sto.Start(); err != nil {
		return false, err
	}
	defer sto.Close()
	if _, err := rig.PublishVersion(sto, 1, further, []string{rig.Key, other}); err != nil {
		return false, err
	}
	wor := rig.NewWorkers("desk", sto, rec)
	defer wor.Close()
	net := 64 + os.Getpid()%128
	for num := range workers {
		if err := wor.Add(fmt.Sprintf("127.%d.1.%d", net, num+1)); err != nil {
			return false, err
		}
	}
	var gates []*rig.Gate
	var links []*rig.Link
	defer func() {
		for _, gat := range gates {
			gat.Kill()
		}
		for _, lin := range links {
			lin.Close()
		}
	}()
	for num := range gateCount {
		lin := rig.NewLink(sto.Address(), rec)
		links = append(links, lin)
		more, err := rig.StartGate(dir, net, num, lin.Address, rec)
		if err != nil {
			return false, err
		}
		gates = append(gates, more)
	}
	cal := rig.NewCaller(rec)
	if err := rig.AwaitServing(cal, gates); err != nil {
		return false, err
	}
	time.Sleep(settling)
	if err := play(rec, sto, gates, links, trouble); err != nil {
		return false, err
	}
	time.Sleep(bound)
	return judge(rec, cal, gates), nil
}

// play writes the configurations, and freezes the first entry that reads the store meanwhile; the others ask those that do.
func play(rec *rig.Record, sto *storefaker.Faker, gates []*rig.Gate, links []*rig.Link, trouble bool) error {
	for num, gat := range gates {
		read := links[num].AfterRead()
		version := 2 + num*versions
		if err := publish(rec, sto, version, []string{rig.Key, other}); err != nil {
			return err
		}
		select {
		case <-read:
		case <-time.After(2 * time.Second):
			rec.Logf("%s doesn't read the store", gat.Name)
			continue
		}
		time.Sleep(20 * time.Millisecond)
		if trouble {
			gat.Signal(syscall.SIGSTOP)
		}
		thaw := time.Now().Add(freeze)
		for more := 1; more < versions; more++ {
			time.Sleep(gap)
			keys := []string{rig.Key, other}
			if more == versions-1 {
				keys = []string{other}
			}
			if err := publish(rec, sto, version+more, keys); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(thaw))
		if trouble {
			gat.Signal(syscall.SIGCONT)
		}
		return nil
	}
	return errors.NotFoundf("longread: entry that reads the store")
}

func publish(rec *rig.Record, sto *storefaker.Faker, version int, keys []string) error {
	size, err := rig.PublishVersion(sto, version, further, keys)
	if err != nil {
		return err
	}
	if size > maxBytes {
		return errors.NotValidf("longread: configuration of %d bytes", size)
	}
	rec.Logf("operator writes version %d of %d bytes, with keys %v", version, size, keys)
	return nil
}

// judge sends requests with the key that was taken away to each entry, and reports whether one is served.
func judge(rec *rig.Record, cal *rig.Caller, gates []*rig.Gate) (broken bool) {
	served, refused := 0, 0
	for range 5 {
		for _, gat := range gates {
			_, status := cal.Send(gat, "with the key that was taken away")
			switch status {
			case http.StatusOK:
				served++
			case http.StatusUnauthorized:
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	rec.Logf("with the key that was taken away: %d requests ran, %d were refused", served, refused)
	fmt.Println("ran:", served, "refused:", refused)
	return served > 0
}
