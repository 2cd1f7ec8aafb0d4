package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/review/rig"
)

const (
	// settled is stable_ms of the site, allowed how often the request may still reach workers after that.
	settled = 3 * time.Second
	allowed = 3
	// late is how much later the store carries out a call that it does not answer: 1 to 6 s on the platform's pages.
	late       = 4 * time.Second
	restartLag = 500 * time.Millisecond
	gateCount  = 5
	workers    = 9
	pause      = 1500 * time.Millisecond
)

func main() {
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("BUDGET broken")
		os.Exit(1)
	}
	fmt.Println("BUDGET held")
}

// scene is what a run consists of.
type scene struct {
	rec   *rig.Record
	gates []*rig.Gate
	links []*rig.Link
	wor   *rig.Workers
	cal   *rig.Caller
}

func run(path string, trouble bool) (broken bool, err error) {
	rec, err := rig.NewRecord(path)
	if err != nil {
		return false, err
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-latewithdrawal-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sto := storefaker.New(storefaker.Options{Address: "127.0.0.1:0"})
	if err := sto.Start(); err != nil {
		return false, err
	}
	defer sto.Close()
	if err := rig.Publish(sto); err != nil {
		return false, err
	}
	sce := &scene{rec: rec, wor: rig.NewWorkers("desk", sto, rec), cal: rig.NewCaller(rec)}
	defer sce.close()
	net := 64 + os.Getpid()%128
	for num := range workers {
		if err := sce.wor.Add(fmt.Sprintf("127.%d.1.%d", net, num+1)); err != nil {
			return false, err
		}
	}
	for num := range gateCount {
		lin := rig.NewLink(sto.Address(), rec)
		sce.links = append(sce.links, lin)
		gat, err := rig.NewGate(dir, fmt.Sprintf("edge-%d", num+1), fmt.Sprintf("zone-%d", num%3), fmt.Sprintf("127.%d.0.%d", net, num+1), lin.Address, rec)
		if err != nil {
			return false, err
		}
		sce.gates = append(sce.gates, gat)
		if err := gat.Start(); err != nil {
			return false, err
		}
	}
	if err := rig.AwaitServing(sce.cal, sce.gates); err != nil {
		return false, err
	}
	time.Sleep(settled)
	for num := 1; num <= 2; num++ {
		if err := sce.restart(num, trouble); err != nil {
			return false, err
		}
	}
	if err := rig.AwaitServing(sce.cal, sce.gates); err != nil {
		return false, err
	}
	time.Sleep(2 * settled)
	return sce.crash()
}

// restart stops an entry as the platform does and starts it again; with trouble the store carries out its withdrawal late.
func (sce *scene) restart(num int, trouble bool) error {
	if trouble {
		sce.links[num].LoseWithdrawal(late)
	}
	sce.gates[num].Signal(syscall.SIGTERM)
	if err := sce.gates[num].AwaitEnd(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(restartLag)
	if err := sce.gates[num].Start(); err != nil {
		return err
	}
	if err := sce.gates[num].AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(late)
	all, lost := 0, 0
	for _, lin := range sce.links {
		one, two := lin.Writes()
		all, lost = all+one, lost+two
	}
	sce.rec.Logf("store: %d of %d writing calls were not answered so far", lost, all)
	return nil
}

// crash sends the request to the first entry until it has crashed three workers, and later to all entries by turns.
func (sce *scene) crash() (broken bool, err error) {
	for range 6 {
		if len(sce.deadly()) >= 3 {
			break
		}
		sce.cal.Send(sce.gates[0], rig.Deadly)
		time.Sleep(pause)
	}
	runs := sce.deadly()
	if len(runs) != 3 {
		return false, errors.NotValidf("latewithdrawal: %d runs at the first entry", len(runs))
	}
	third := runs[2].At
	time.Sleep(time.Until(third.Add(settled + pause)))
	for range 3 {
		for _, gat := range sce.gates {
			sce.cal.Send(gat, rig.Deadly)
			time.Sleep(pause)
		}
	}
	retries := 0
	for _, run := range sce.deadly() {
		if run.At.After(third.Add(settled)) {
			retries++
			sce.rec.Logf("retry %d reached worker %s, %.1f s after the third crash", retries, run.Worker, run.At.Sub(third).Seconds())
		}
	}
	sce.rec.Logf("the request reached workers in %d retries; %d are allowed", retries, allowed)
	fmt.Println("retries:", retries)
	return retries > allowed, nil
}

func (sce *scene) deadly() []rig.Run {
	var out []rig.Run
	for _, run := range sce.wor.Runs() {
		if run.Body == rig.Deadly {
			out = append(out, run)
		}
	}
	return out
}

func (sce *scene) close() {
	for _, gat := range sce.gates {
		gat.Kill()
	}
	for _, lin := range sce.links {
		lin.Close()
	}
	sce.wor.Close()
}
