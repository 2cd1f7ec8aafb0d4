package gateway

import (
	"sync"

	"github.com/lovagelever/lovagelever/collector"
)

// bodyList is the bodies that one request holds in memory; attempts beside each other add to it.
type bodyList struct {
	mux  sync.Mutex
	list []*collector.Body
}

// keep holds a body until the request ends; a body that could not be read is nil.
func (job *job) keep(body *collector.Body) {
	if body == nil {
		return
	}
	job.bodies.mux.Lock()
	defer job.bodies.mux.Unlock()
	job.bodies.list = append(job.bodies.list, body)
}

// releaseBodies releases all bodies of the request, whatever is left of them.
func (job *job) releaseBodies() {
	job.bodies.mux.Lock()
	defer job.bodies.mux.Unlock()
	for _, body := range job.bodies.list {
		body.Release()
	}
}
