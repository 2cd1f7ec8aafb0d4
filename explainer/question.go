package explainer

import (
	"net/url"
	"strconv"

	"github.com/juju/errors"
)

// Question describes a request; PromptTokens and AnswerTokens are its size in tokens.
type Question struct {
	Host         string
	Path         string
	Workspace    string
	Model        string
	PromptTokens int
	AnswerTokens int
}

// Values returns the question as the query of a URL.
func (que Question) Values() url.Values {
	return url.Values{
		"host": {que.Host}, "path": {que.Path}, "workspace": {que.Workspace}, "model": {que.Model},
		"prompt_tokens": {strconv.Itoa(que.PromptTokens)}, "answer_tokens": {strconv.Itoa(que.AnswerTokens)},
	}
}

// ParseQuestion returns the question of a query; it fails with errors.NotValid.
func ParseQuestion(val url.Values) (Question, error) {
	que := Question{Host: val.Get("host"), Path: val.Get("path"), Workspace: val.Get("workspace"), Model: val.Get("model")}
	if que.Path == "" {
		return que, errors.NotValidf("explainer: question without a path")
	}
	for name, dst := range map[string]*int{"prompt_tokens": &que.PromptTokens, "answer_tokens": &que.AnswerTokens} {
		text := val.Get(name)
		if text == "" {
			continue
		}
		num, err := strconv.Atoi(text)
		if err != nil || num < 0 {
			return que, errors.NotValidf("explainer: %s %q", name, text)
		}
		*dst = num
	}
	return que, nil
}
