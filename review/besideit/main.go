package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/review/rig"
)

const (
	settling  = 3 * time.Second
	gateCount = 3
	rounds    = 14
	// pause is the time between two rounds, longer than a crashed worker is down; ahead is how much earlier the sound request is sent.
	pause = 6 * time.Second
	ahead = 100 * time.Millisecond
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

func run(path string, trouble bool) (broken bool, err error) {
	rec, err := rig.NewRecord(path)
	if err != nil {
		return false, err
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-besideit-")
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
	net := 64 + os.Getpid()%128
	wor := rig.NewWorkers("desk", sto, rec)
	defer wor.Close()
	if err := wor.Add(fmt.Sprintf("127.%d.1.1", net)); err != nil {
		return false, err
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
	if err := rig.AwaitServing(cal, gates); err != nil {
		return false, err
	}
	time.Sleep(settling)
	for num := range rounds {
		began := time.Now()
		round(cal, gates[num%gateCount], trouble)
		time.Sleep(time.Until(began.Add(pause)))
	}
	return rig.Judge(rec, wor.Runs()), nil
}

// round sends the sound request and the other one: with trouble so that a worker has both, else one after the other.
func round(cal *rig.Caller, gat *rig.Gate, trouble bool) {
	var both sync.WaitGroup
	both.Go(func() { cal.Send(gat, rig.Long) })
	if trouble {
		time.Sleep(ahead)
	} else {
		both.Wait()
	}
	both.Go(func() { cal.Send(gat, rig.Deadly) })
	both.Wait()
}
