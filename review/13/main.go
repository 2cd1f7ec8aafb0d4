// Command 13 kills all entries at the same moment after they have found out which request crashes workers.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/lovagelever/lovagelever/review/11/rig"
)

const (
	entries     = 7
	repeaters   = 2
	repeatEvery = 5 * time.Second
	// The entries are killed after killAfter, just after the fourth round of the request, and start again after downFor, so that they are in touch at the fifth.
	killAfter = 15700 * time.Millisecond
	downFor   = time.Second
	lasts     = 85 * time.Second
)

func main() {
	os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

func run(dir string, trouble bool) int {
	rec, err := rig.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer rec.Close()
	dep, err := rig.New(rec, entries, []string{"zone-a", "zone-b", "zone-c"}, rig.PlainConfig())
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer dep.Close()
	cra, err := rig.StartDesk(dep)
	if err == nil {
		err = dep.StartAll()
	}
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	served := rig.Load(ctx, dep)
	time.Sleep(rig.Stable)
	killed := make(chan error, 1)
	go func() { killed <- kill(dep, trouble) }()
	rig.Repeat(ctx, dep, "a seat that "+rig.Marker, repeaters, repeatEvery)
	if err := <-killed; err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	return cra.Judge(served(), true)
}

func kill(dep *rig.Deployment, trouble bool) error {
	if !trouble {
		return nil
	}
	time.Sleep(killAfter)
	dep.Record.Note("all entries are killed")
	err := dep.KillAll(downFor)
	dep.Record.Note("all entries are started again")
	return err
}
