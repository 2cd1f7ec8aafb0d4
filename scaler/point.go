package scaler

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/juju/errors"
)

// Point is everything measured at one size, or a part of it.
type Point struct {
	Idle
	Changes
	Takeover
}

// Load reads a file of points, one JSON object a line, and joins the parts of each size.
func Load(file string) ([]Point, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "scaler: read results")
	}
	var out []Point
	for line := range strings.Lines(string(data)) {
		var poi Point
		if err := json.Unmarshal([]byte(line), &poi); err != nil {
			return nil, errors.NewNotValid(err, "scaler: results")
		}
		out = join(out, poi)
	}
	return out, nil
}

func join(pois []Point, poi Point) []Point {
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
