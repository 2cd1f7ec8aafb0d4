package permitter

import (
	"sync"
	"time"

	"github.com/lovagelever/lovagelever/registrar"
)

// announceAgain is the time after which a limit is announced once more, since datagrams get lost.
const announceAgain = 300 * time.Millisecond

// announcements are the limits that this entry tells all others.
type announcements struct {
	mux   *sync.Mutex
	first map[registrar.Instance]bool
	again map[registrar.Instance]time.Time
}

func newAnnouncements() announcements {
	return announcements{mux: &sync.Mutex{}, first: map[registrar.Instance]bool{}, again: map[registrar.Instance]time.Time{}}
}

func (ann announcements) add(ins registrar.Instance) {
	ann.mux.Lock()
	defer ann.mux.Unlock()
	ann.first[ins] = true
}

// due returns the servers whose limits are to be announced now.
func (ann announcements) due(now time.Time) []registrar.Instance {
	ann.mux.Lock()
	defer ann.mux.Unlock()
	var out []registrar.Instance
	for ins, at := range ann.again {
		if !now.Before(at) {
			delete(ann.again, ins)
			if !ann.first[ins] {
				out = append(out, ins)
			}
		}
	}
	for ins := range ann.first {
		delete(ann.first, ins)
		out = append(out, ins)
		ann.again[ins] = now.Add(announceAgain)
	}
	return out
}
