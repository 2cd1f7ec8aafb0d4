package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/review/rig"
)

const (
	gateCount = 3
	workers   = 6
	grace     = 8 * time.Second
	settling  = 3 * time.Second
	// Requests that are sent later than excusedUntil after the signal are not excused if the process ends before their answers.
	excusedUntil = 3 * time.Second
	requests     = 5
	spacing      = 100 * time.Millisecond
)

var (
	// usual is a stream of the usual size, long one that takes some 4.8 s although its caller expects less than 1 s.
	usual = rig.Stream{Most: 400, Expected: 100, Has: 100}
	long  = rig.Stream{Most: 600, Expected: 100, Has: 560}
)

func main() {
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("LOST broken")
		os.Exit(1)
	}
	fmt.Println("LOST held")
}

func run(path string, trouble bool) (broken bool, err error) {
	rec, err := rig.NewRecord(path)
	if err != nil {
		return false, err
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-stopaccept-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sto := storefaker.New(storefaker.Options{Address: "127.0.0.1:0"})
	if err := sto.Start(); err != nil {
		return false, err
	}
	defer sto.Close()
	if err := rig.PublishEngines(sto); err != nil {
		return false, err
	}
	eng := rig.NewEngines("pool", sto, rec)
	defer eng.Close()
	net := 64 + os.Getpid()%128
	for num := range workers {
		if err := eng.Add(fmt.Sprintf("127.%d.1.%d", net, num+1)); err != nil {
			return false, err
		}
	}
	gates, err := rig.StartGates(dir, net, gateCount, sto.Address(), rec)
	defer func() {
		for _, gat := range gates {
			gat.Kill()
		}
	}()
	if err != nil {
		return false, err
	}
	cal := rig.NewCaller(rec)
	if err := awaitServing(cal, gates); err != nil {
		return false, err
	}
	time.Sleep(settling)
	return play(rec, cal, gates[0], trouble)
}

// awaitServing waits until each entry has answered a stream.
func awaitServing(cal *rig.Caller, gates []*rig.Gate) error {
	for _, gat := range gates {
		if err := gat.AwaitReady(15 * time.Second); err != nil {
			return err
		}
		served := false
		for range 40 {
			if _, status, whole := cal.Request(gat, usual); status == 200 && whole {
				served = true
				break
			}
			time.Sleep(250 * time.Millisecond)
		}
		if !served {
			return fmt.Errorf("%s serves no stream", gat.Name)
		}
	}
	return nil
}

// play stops the entry and sends it requests from 2 s after the signal on; without trouble it sends the same requests only.
func play(rec *rig.Record, cal *rig.Caller, gat *rig.Gate, trouble bool) (broken bool, err error) {
	signalled := time.Now()
	if trouble {
		gat.Signal(syscall.SIGTERM)
	}
	var all sync.WaitGroup
	var mux sync.Mutex
	served, cut := 0, 0
	send := func(stm rig.Stream, at time.Duration) {
		all.Go(func() {
			time.Sleep(time.Until(signalled.Add(at)))
			id, status, whole := cal.Request(gat, stm)
			mux.Lock()
			defer mux.Unlock()
			switch {
			case status == 200 && whole:
				served++
			case status == 200 && at > excusedUntil && time.Since(signalled) <= grace+time.Second:
				cut++
				rec.Logf("%s was sent %v after the signal, and its answer was cut off %.1f s after it", id, at, time.Since(signalled).Seconds())
			}
		})
	}
	// Usual requests keep the entry from ending sooner.
	for num := range 4 {
		send(usual, 2*time.Second+time.Duration(num)*300*time.Millisecond)
	}
	for num := range requests {
		send(long, excusedUntil+time.Duration(num+1)*spacing)
	}
	all.Wait()
	if trouble {
		if err := gat.AwaitEnd(2 * grace); err != nil {
			return false, err
		}
	}
	rec.Logf("answers that came whole: %d; cut off, and not excused: %d", served, cut)
	fmt.Println("whole:", served, "cut:", cut)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return cut > 0, nil
}
