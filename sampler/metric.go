package sampler

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

const maxBytes = 16 << 20

// Fetch returns the body of an answer; it fails with errors.NotFound for any status but 200.
func Fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Annotate(err, "sampler: ask")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "sampler: ask")
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxBytes))
	if err != nil {
		return nil, errors.Annotate(err, "sampler: read answer")
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.NotFoundf("sampler: answer %d of %s", res.StatusCode, url)
	}
	return data, nil
}

// Metrics are the values of an entry's metrics by name with labels.
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
