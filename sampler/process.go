package sampler

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	clockTick     = 10 * time.Millisecond
	userTimeField = 11
	kibibyte      = 1024
	residentLabel = "VmRSS:"
)

// Process is one process of a deployment.
type Process struct {
	ID   int
	Name string
}

// Processes reads a file with lines of process ID and name, and returns those whose name begins with the prefix.
func Processes(file, prefix string) ([]Process, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "sampler: read process list")
	}
	var out []Process
	for line := range strings.Lines(string(data)) {
		var pro Process
		if _, err := fmt.Sscan(line, &pro.ID, &pro.Name); err != nil {
			return nil, errors.NewNotValid(err, "sampler: process list")
		}
		if strings.HasPrefix(pro.Name, prefix) {
			out = append(out, pro)
		}
	}
	return out, nil
}

// CPUTime returns the user and system CPU time of the process since its start.
func (pro Process) CPUTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pro.ID))
	if err != nil {
		return 0, errors.Annotate(err, "sampler: read processor time")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < userTimeField+2 {
		return 0, errors.NotValidf("sampler: processor time of process %d", pro.ID)
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[userTimeField+1], 10, 64)
	return time.Duration(user+system) * clockTick, nil
}

// ResidentMemory returns the resident memory of the process in bytes.
func (pro Process) ResidentMemory() (int64, error) {
	fil, err := os.Open(fmt.Sprintf("/proc/%d/status", pro.ID))
	if err != nil {
		return 0, errors.Annotate(err, "sampler: read memory")
	}
	defer func() { _ = fil.Close() }()
	scn := bufio.NewScanner(fil)
	for scn.Scan() {
		rest, found := strings.CutPrefix(scn.Text(), residentLabel)
		if !found {
			continue
		}
		var num int64
		if _, err := fmt.Sscan(rest, &num); err != nil {
			return 0, errors.NewNotValid(err, "sampler: memory")
		}
		return num * kibibyte, nil
	}
	return 0, errors.NotFoundf("sampler: memory of process %d", pro.ID)
}
