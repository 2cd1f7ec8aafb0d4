package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, each line with the seconds since its start; it is safe for concurrent use.
type Record struct {
	mux   sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Logf writes one line.
func (rec *Record) Logf(format string, args ...any) {
	rec.mux.Lock()
	defer rec.mux.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%8.3f %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (rec *Record) Close() {
	_ = rec.file.Close()
}
