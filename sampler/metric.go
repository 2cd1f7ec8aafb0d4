package sampler

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

const maxBodySize = 16 << 20

// Fetch returns the body of the response to a GET request; it fails with errors.NotFound for any status but 200.
func Fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Annotate(err, "sampler: create request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "sampler: send request")
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxBodySize))
	if err != nil {
		return nil, errors.Annotate(err, "sampler: read response")
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.NotFoundf("sampler: status %d from %s", res.StatusCode, url)
	}
	return data, nil
}

// Metrics maps the name of a metric, with its labels, to its value.
type Metrics map[string]float64

// Scrape reads the metrics of an entry.
func Scrape(ctx context.Context, address string) (Metrics, error) {
	data, err := Fetch(ctx, "http://"+address+"/metrics")
	if err != nil {
		return nil, err
	}
	return parse(string(data)), nil
}

func parse(text string) Metrics {
	out := Metrics{}
	for line := range strings.Lines(text) {
		cut := strings.LastIndexByte(strings.TrimSpace(line), ' ')
		if strings.HasPrefix(line, "#") || cut < 0 {
			continue
		}
		var val float64
		if _, err := fmt.Sscan(line[cut+1:], &val); err == nil {
			out[line[:cut]] = val
		}
	}
	return out
}
