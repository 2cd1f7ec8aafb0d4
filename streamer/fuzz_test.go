package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
)

type countingSink struct{ next int }

func (cou *countingSink) Token(index int, _ []byte) error {
	if index != cou.next {
		panic("token out of order")
	}
	cou.next++
	return nil
}

func FuzzStream(f *testing.F) {
	whole := tokenEvent("r", 0, "a") + tokenEvent("r", 1, "b") + finalEvent("r", 2, 2) + endEvent
	for _, body := range []string{"", whole, whole[:90], strings.ReplaceAll(whole, `"r"`, `"q"`), endEvent, "data:", "data: null\n", `data: {"id":"\u0072","index":0}` + "\n"} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		cou := &countingSink{}
		rea := reader{ctx: context.Background(), sink: cou, id: []byte("r")}
		err := rea.read(bytes.NewReader(body))
		if rea.next != cou.next {
			t.Fatalf("%d tokens counted, %d delivered", rea.next, cou.next)
		}
		if err == nil && (rea.result.Tokens != cou.next || !bytes.Contains(body, endMarker)) {
			t.Fatalf("complete after %d of %d tokens", cou.next, rea.result.Tokens)
		}
	})
}

// FuzzChunk compares the parser with encoding/json, for objects that contain the names once and in lower case.
func FuzzChunk(f *testing.F) {
	for _, body := range []string{tokenEvent("r", 0, "a\n"), finalEvent("r", 2, 2), `data: {"id":"\ud83d\ude00","index":1e1}`, `data: {"id":"x","index":0,"choices":[{"delta":{"content":"` + "\xff" + `"}}]}`} {
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
			t.Fatalf("parsed, but encoding/json returned %v", err)
		}
		if want.ID != string(chu.id) || want.Index != chu.index {
			t.Fatalf("encoding/json parsed %+v, want %q %d", want, chu.id, chu.index)
		}
	})
}
