// Command besideit sends a request that crashes its workers again and again, always beside the same sound request of the same caller.
//
// It exits with 1 if the request reaches workers in more than three retries
// later than the settling time after it has crashed the third, 0 if it does
// not, and 2 if the case could not run.
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
	// settled is stable_ms of the site, allowed how often the request may still reach workers after that.
	settled   = 3 * time.Second
	allowed   = 3
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
	var gates []*rig.Gate
	defer func() {
		for _, gat := range gates {
			gat.Kill()
		}
	}()
	for num := range gateCount {
		gat, err := rig.NewGate(dir, fmt.Sprintf("edge-%d", num+1), fmt.Sprintf("zone-%d", num%3), fmt.Sprintf("127.%d.0.%d", net, num+1), sto.Address(), rec)
		if err != nil {
			return false, err
		}
		gates = append(gates, gat)
		if err := gat.Start(); err != nil {
			return false, err
		}
	}
	cal := rig.NewCaller(rec)
	if err := rig.AwaitServing(cal, gates); err != nil {
		return false, err
	}
	time.Sleep(settled)
	for num := range rounds {
		began := time.Now()
		round(cal, gates[num%gateCount], trouble)
		time.Sleep(time.Until(began.Add(pause)))
	}
	return judge(rec, wor.Runs())
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

// judge counts the runs of the request later than the settling time after its third crash.
func judge(rec *rig.Record, runs []rig.Run) (broken bool, err error) {
	var deadly []rig.Run
	for _, run := range runs {
		if run.Body == rig.Deadly {
			deadly = append(deadly, run)
		}
	}
	if len(deadly) < 3 {
		return false, fmt.Errorf("the request ran %d times", len(deadly))
	}
	third, retries := deadly[2].At, 0
	for _, run := range deadly[3:] {
		if run.At.After(third.Add(settled)) {
			retries++
			rec.Logf("retry %d reached worker %s, %.1f s after the third crash", retries, run.Worker, run.At.Sub(third).Seconds())
		}
	}
	rec.Logf("the request reached workers in %d retries; %d are allowed", retries, allowed)
	fmt.Println("retries:", retries)
	return retries > allowed, nil
}
