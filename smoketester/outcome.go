package smoketester

import (
	"fmt"
	"sync"
)

// tally counts the results of a trial and collects its problems.
type tally struct {
	lock            sync.Mutex
	answers         int
	completeAnswers int
	sideEffects     int
	ranOnce         int
	sentKeys        []sentKey
	problems        []string
}

// sentKey is the idempotency key of one side effect; answered means that both sends got the expected responses.
type sentKey struct {
	workspace string
	key       string
	answered  bool
}

func (tal *tally) addAnswer(workspace string, err error) {
	tal.addProblem(workspace, err)
	tal.lock.Lock()
	defer tal.lock.Unlock()
	tal.answers++
	if err == nil {
		tal.completeAnswers++
	}
}

func (tal *tally) addSideEffect(workspace, key string, err error) {
	tal.addProblem(workspace, err)
	tal.lock.Lock()
	defer tal.lock.Unlock()
	tal.sideEffects++
	tal.sentKeys = append(tal.sentKeys, sentKey{workspace: workspace, key: key, answered: err == nil})
}

func (tal *tally) addProblem(where string, err error) {
	if err == nil {
		return
	}
	tal.lock.Lock()
	defer tal.lock.Unlock()
	tal.problems = append(tal.problems, fmt.Sprintf("%s: %v", where, err))
}

// checkRuns compares the sent keys with the service's own count of runs for each key.
func (tal *tally) checkRuns(runs map[string]int, err error) {
	tal.addProblem("counts", err)
	if err != nil {
		return
	}
	for _, snt := range tal.sentKeys {
		if snt.answered && runs[snt.key] == 1 {
			tal.ranOnce++
			continue
		}
		if runs[snt.key] != 1 {
			tal.problems = append(tal.problems, fmt.Sprintf("%s: key %q ran %d times", snt.workspace, snt.key, runs[snt.key]))
		}
	}
}
