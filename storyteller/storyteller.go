package storyteller

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// maxLineBytes is the longest log line that can be read, in bytes.
	maxLineBytes = 1 << 20
	// contextWindow is how far before the first and after the last line of a request related lines are included.
	contextWindow = 3 * time.Second
)

// Line is one log line of an entry.
type Line struct {
	Entry string
	// Seq orders the lines of one process even if its clock jumps; it is 0 for a line without a number.
	Seq     int64
	Time    time.Time
	Message string
	Fields  map[string]any
}

// Read returns the JSON log lines of an input and skips all other lines; it fails if the input can't be read.
func Read(src io.Reader) ([]Line, error) {
	var out []Line
	sca := bufio.NewScanner(src)
	sca.Buffer(nil, maxLineBytes)
	for sca.Scan() {
		text := sca.Text()
		pos := strings.IndexByte(text, '{')
		if pos < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(text[pos:]), &fields) != nil {
			continue
		}
		out = append(out, parse(fields))
	}
	return out, errors.Annotate(sca.Err(), "storyteller: read logs")
}

func parse(fields map[string]any) Line {
	lin := Line{Fields: fields}
	lin.Entry, _ = fields["entry"].(string)
	lin.Message, _ = fields["msg"].(string)
	if seq, ok := fields["seq"].(float64); ok {
		lin.Seq = int64(seq)
	}
	if text, ok := fields["time"].(string); ok {
		lin.Time, _ = time.Parse(time.RFC3339Nano, text)
	}
	for _, name := range []string{"entry", "msg", "seq", "time", "level"} {
		delete(fields, name)
	}
	return lin
}

// RequestHistory returns the lines about a request in chronological order, with related lines of the same entries: those about the units that it was sent to and about the store or the configuration.
func RequestHistory(all []Line, request string) []Line {
	var own []Line
	units, entries := map[string]bool{}, map[string]bool{}
	for _, lin := range all {
		if lin.Fields["request"] != request {
			continue
		}
		own = append(own, lin)
		entries[lin.Entry] = true
		for _, field := range []string{"unit", "second_unit"} {
			if unit, ok := lin.Fields[field].(string); ok {
				units[unit] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	first, last := timeRange(own)
	out := own
	for _, lin := range all {
		if lin.Fields["request"] != nil || lin.Time.Before(first.Add(-contextWindow)) || lin.Time.After(last.Add(contextWindow)) {
			continue
		}
		if entries[lin.Entry] && isRelated(lin, units) {
			out = append(out, lin)
		}
	}
	slices.SortStableFunc(out, func(one, two Line) int {
		if one.Entry == two.Entry && one.Seq != 0 && two.Seq != 0 {
			return cmp.Compare(one.Seq, two.Seq)
		}
		return one.Time.Compare(two.Time)
	})
	return out
}

func timeRange(lines []Line) (first, last time.Time) {
	first, last = lines[0].Time, lines[0].Time
	for _, lin := range lines {
		if lin.Time.Before(first) {
			first = lin.Time
		}
		if lin.Time.After(last) {
			last = lin.Time
		}
	}
	return first, last
}

// isRelated reports whether a line is about one of the units, the server or group of one, the store or the configuration.
func isRelated(lin Line, units map[string]bool) bool {
	for unit := range units {
		if lin.Fields["unit"] == unit {
			return true
		}
		if ser, ok := lin.Fields["server"].(string); ok && strings.HasPrefix(unit, ser+"@") {
			return true
		}
		if grp, ok := lin.Fields["group"].(string); ok && grp != "" && strings.HasSuffix(unit, "/"+grp) {
			return true
		}
	}
	switch lin.Message {
	case "store lost", "store regained", "configuration in force", "availability zone switched", "entry stops":
		return true
	}
	return false
}

// Write writes each line as one line of text, with its fields sorted by name.
func Write(dst io.Writer, lines []Line) error {
	for _, lin := range lines {
		text := fmt.Sprintf("%s %s: %s", lin.Time.Format("15:04:05.000"), lin.Entry, lin.Message)
		for _, name := range slices.Sorted(maps.Keys(lin.Fields)) {
			text += fmt.Sprintf(" %s=%v", name, lin.Fields[name])
		}
		if _, err := fmt.Fprintln(dst, text); err != nil {
			return errors.Annotate(err, "storyteller: write")
		}
	}
	return nil
}
