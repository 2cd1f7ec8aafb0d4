package explainer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/collector"
)

// Path is the path of questions at the metrics address of an entry.
const Path = "/explain"

// askTimeout limits one question.
const askTimeout = 5 * time.Second

// Ask asks the entry with a metrics address IP:PORT; it fails with errors.NotValid for a question that the entry can't read, and with errors.NotFound at an address that answers no questions.
func Ask(ctx context.Context, address string, que Question) (Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: que.Values().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Explanation{}, errors.NewNotValid(err, "explainer: address "+address)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Explanation{}, errors.Annotatef(err, "explainer: ask %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := collector.ReadAll(res.Body, collector.MaxBodyBytes)
	if err != nil {
		return Explanation{}, errors.Annotatef(err, "explainer: answer of %s", address)
	}
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest:
		return Explanation{}, errors.NotValidf("explainer: %s:", string(body))
	default:
		return Explanation{}, errors.NotFoundf("explainer: explanations at %s (status %d; give the metrics address of an entry)", address, res.StatusCode)
	}
	var exp Explanation
	if err := json.Unmarshal(body, &exp); err != nil {
		return Explanation{}, errors.NewNotValid(err, "explainer: answer of "+address)
	}
	return exp, nil
}
