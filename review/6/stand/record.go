package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start in seconds.
type record struct {
	mux   sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

func (rec *record) add(format string, args ...any) {
	rec.addAt(time.Now(), format, args...)
}

func (rec *record) addAt(at time.Time, format string, args ...any) {
	rec.mux.Lock()
	defer rec.mux.Unlock()
	_, _ = fmt.Fprintf(rec.out, "%9.3f  %s\n", at.Sub(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *record) close() {
	rec.mux.Lock()
	defer rec.mux.Unlock()
	_ = rec.out.Flush()
	_ = rec.file.Close()
}
