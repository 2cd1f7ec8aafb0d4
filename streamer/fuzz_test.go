package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
)

type count struct{ next int }

func (cou *count) Token(index int, _ []byte) error {
	if index != cou.next {
		panic("a token out of order")
	}
	cou.next++
	return nil
}

func FuzzStream(f *testing.F) {
	whole := event("r", 0, "a") + event("r", 1, "b") + last("r", 2, 2) + done
	for _, body := range []string{"", whole, whole[:90], strings.ReplaceAll(whole, `"r"`, `"q"`), done, "data:", "data: null\n", `data: {"id":"\u0072","index":0}` + "\n"} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		cou := &count{}
		rea := reader{ctx: context.Background(), sink: cou, id: []byte("r")}
		err := rea.read(bytes.NewReader(body))
		if rea.next != cou.next {
			t.Fatalf("%d tokens counted, %d passed on", rea.next, cou.next)
		}
		if err == nil && (rea.result.Tokens != cou.next || !bytes.Contains(body, endMarker)) {
			t.Fatalf("whole with %d of %d tokens", cou.next, rea.result.Tokens)
		}
	})
}

// FuzzChunk holds the parser to encoding/json for objects whose names are spelt once and in lower case.
func FuzzChunk(f *testing.F) {
	for _, body := range []string{event("r", 0, "a\n"), last("r", 2, 2), `data: {"id":"\ud83d\ude00","index":1e1}`, `data: {"id":"x","index":0,"choices":[{"delta":{"content":"` + "\xff" + `"}}]}`} {
		f.Add([]byte(strings.TrimSpace(strings.TrimPrefix(body, "data:"))))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var chu chunk
		if !chu.parse(line) {
			return
		}
		var want struct {
			ID    string `json:"id"`
			Index int    `json:"index"`
		}
		plain := bytes.Count(bytes.ToLower(line), []byte("id")) == 1 && bytes.Count(bytes.ToLower(line), []byte("index")) == 1 && !bytes.Contains(line, []byte(`\`)) && bytes.IndexFunc(line, func(chr rune) bool { return chr > 'z' }) < 0
		if !plain {
			return
		}
		if err := json.Unmarshal(line, &want); err != nil {
			t.Fatalf("taken, but %v", err)
		}
		if want.ID != string(chu.id) || want.Index != chu.index {
			t.Fatalf("%+v is not %q %d", want, chu.id, chu.index)
		}
	})
}
