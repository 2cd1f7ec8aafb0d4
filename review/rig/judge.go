package rig

import (
	"fmt"
	"time"
)

const (
	// settled is stable_ms of the site, allowed how often a request that crashes workers may still reach them that long after the third crash.
	settled = 3 * time.Second
	allowed = 3
)

// Judge reports whether the deadly request reached workers in more retries than the rule allows.
func Judge(rec *Record, runs []Run) (broken bool) {
	var deadly []Run
	for _, run := range runs {
		if run.Body == Deadly {
			deadly = append(deadly, run)
		}
	}
	retries := 0
	for num, run := range deadly {
		if num >= 3 && run.At.After(deadly[2].At.Add(settled)) {
			retries++
			rec.Logf("retry %d reached worker %s, %.1f s after the third crash", retries, run.Worker, run.At.Sub(deadly[2].At).Seconds())
		}
	}
	rec.Logf("the request ran %d times, in %d retries later than %v after the third; %d are allowed", len(deadly), retries, settled, allowed)
	fmt.Println("runs:", len(deadly), "retries:", retries)
	return retries > allowed
}
