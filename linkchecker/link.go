package linkchecker

import "time"

// link is the state of the links to the backend servers of one service.
type link struct {
	// silent says that no server answered the last check.
	silent     bool
	lastAnswer time.Time
	checkedAt  time.Time
	// checking is closed at the end of the check that is under way, nil if there is none.
	checking chan struct{}
	// lost is closed while the links are lost.
	lost     chan struct{}
	isClosed bool
}

// signal updates the channel that is closed while the links are lost.
func (lin *link) signal(lost bool) {
	switch {
	case lost && !lin.isClosed:
		close(lin.lost)
		lin.isClosed = true
	case !lost && lin.isClosed:
		lin.lost, lin.isClosed = make(chan struct{}), false
	}
}
