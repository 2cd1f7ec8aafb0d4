package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// caseLimit bounds a case; the entries end with it.
const caseLimit = 115 * time.Second

// cases maps the names of the cases to what plays them; each returns how often the rule was broken.
var cases = map[string]func(ctx context.Context, sys *system, trouble bool) (int, error){
	"outage": playOutage,
	"heldup": playHeldUp,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	const usage = "usage: stand CASE RECORD"
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		return exitFailed
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	sys, err := newSystem(ctx, rec)
	if err != nil {
		rec.add("could not start: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer sys.close()
	broken, err := cases[args[0]](ctx, sys, trouble)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rec.add("verdict: trouble %v, the rule was broken %d times", trouble, broken)
	fmt.Printf("%s: trouble %v, the rule was broken %d times\n", args[0], trouble, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
