package scaler

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/juju/errors"
)

// Point holds the measurements of a deployment of one size, or a part of them.
type Point struct {
	Idle
	Changes
	Takeover
}

// LoadPoints reads a file of points, one JSON object per line, and merges the parts of each size.
func LoadPoints(file string) ([]Point, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "scaler: read results")
	}
	var out []Point
	for line := range strings.Lines(string(data)) {
		var poi Point
		if err := json.Unmarshal([]byte(line), &poi); err != nil {
			return nil, errors.NewNotValid(err, "scaler: parse results")
		}
		out = mergePoint(out, poi)
	}
	return out, nil
}

func mergePoint(pois []Point, poi Point) []Point {
	for i := range pois {
		if pois[i].Entries != poi.Entries || pois[i].Engines != poi.Engines {
			continue
		}
		if poi.Victim != "" {
			pois[i].Takeover = poi.Takeover
			return pois
		}
	}
	return append(pois, poi)
}
