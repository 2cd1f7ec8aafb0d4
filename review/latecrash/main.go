package main

import (
	"fmt"
	"os"
	"time"

	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/review/rig"
)

const (
	gateCount = 3
	workers   = 8
	rounds    = 10
	pause     = 4 * time.Second
	settling  = 3 * time.Second
	crashAt   = 500 * time.Millisecond
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
	dir, err := os.MkdirTemp("", "review-latecrash-")
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
	wor := rig.NewWorkers("desk", sto, rec)
	wor.CrashAfter = crashAt
	if os.Getenv("EARLY") == "1" {
		wor.CrashAfter = 50 * time.Millisecond
	}
	defer wor.Close()
	net := 64 + os.Getpid()%128
	for num := range workers {
		if err := wor.Add(fmt.Sprintf("127.%d.1.%d", net, num+1)); err != nil {
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
	if err := rig.AwaitServing(cal, gates); err != nil {
		return false, err
	}
	time.Sleep(settling)
	body := rig.Deadly
	if !trouble {
		body = "usual"
	}
	for num := range rounds {
		began := time.Now()
		cal.SendTo(gates[num%gateCount], rig.StreamPath, body)
		time.Sleep(time.Until(began.Add(pause)))
	}
	return rig.Judge(rec, wor.Runs()), nil
}
