package trier

import (
	"fmt"
	"sync"
)

// outcome counts what a trial was answered.
type outcome struct {
	lock     sync.Mutex
	answers  int
	whole    int
	effects  int
	once     int
	sent     []sentKey
	problems []string
}

// sentKey is the key of one side effect and whether both sends were answered as they should be.
type sentKey struct {
	workspace string
	key       string
	answered  bool
}

func (out *outcome) answer(workspace string, err error) {
	out.note(workspace, err)
	out.lock.Lock()
	defer out.lock.Unlock()
	out.answers++
	if err == nil {
		out.whole++
	}
}

func (out *outcome) effect(workspace, key string, err error) {
	out.note(workspace, err)
	out.lock.Lock()
	defer out.lock.Unlock()
	out.effects++
	out.sent = append(out.sent, sentKey{workspace: workspace, key: key, answered: err == nil})
}

func (out *outcome) note(where string, err error) {
	if err == nil {
		return
	}
	out.lock.Lock()
	defer out.lock.Unlock()
	out.problems = append(out.problems, fmt.Sprintf("%s: %v", where, err))
}

// compare takes the service's own count of runs for each key.
func (out *outcome) compare(runs map[string]int, err error) {
	out.note("counts", err)
	if err != nil {
		return
	}
	for _, snt := range out.sent {
		if snt.answered && runs[snt.key] == 1 {
			out.once++
			continue
		}
		if runs[snt.key] != 1 {
			out.problems = append(out.problems, fmt.Sprintf("%s: key %q ran %d times", snt.workspace, snt.key, runs[snt.key]))
		}
	}
}
