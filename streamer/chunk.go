package streamer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// chunk is one event of a stream; its byte slices belong to the line it was read from.
type chunk struct {
	id         []byte
	index      int
	content    []byte
	finish     []byte
	completion int
	prompt     int
}

const unset = -1

// parse reads an event's JSON without copying it; anything that is not a chunk is refused.
func (chu *chunk) parse(line []byte) bool {
	*chu = chunk{index: unset, completion: unset}
	if !json.Valid(line) {
		return false
	}
	cur := cursor{data: line}
	ok := cur.object(func(name []byte) bool {
		switch string(name) {
		case "id":
			return cur.text(&chu.id)
		case "index":
			return cur.number(&chu.index)
		case "choices":
			return cur.choices(chu)
		case "usage":
			return cur.usage(chu)
		default:
			return cur.skip()
		}
	})
	return ok && chu.index >= 0 && len(chu.id) > 0
}

func (cur *cursor) choices(chu *chunk) bool {
	count := 0
	ok := cur.list(func() bool {
		count++
		return cur.object(func(name []byte) bool {
			switch string(name) {
			case "delta":
				return cur.delta(chu)
			case "finish_reason":
				return cur.text(&chu.finish)
			default:
				return cur.skip()
			}
		})
	})
	return ok && count <= 1
}

func (cur *cursor) delta(chu *chunk) bool {
	return cur.object(func(name []byte) bool {
		if string(name) == "content" {
			return cur.text(&chu.content)
		}
		return cur.skip()
	})
}

func (cur *cursor) usage(chu *chunk) bool {
	return cur.object(func(name []byte) bool {
		switch string(name) {
		case "completion_tokens":
			return cur.number(&chu.completion)
		case "prompt_tokens":
			return cur.number(&chu.prompt)
		default:
			return cur.skip()
		}
	})
}

// cursor walks over JSON that is known to be valid.
type cursor struct {
	data []byte
	pos  int
}

func (cur *cursor) peek() byte {
	for cur.pos < len(cur.data) {
		switch cur.data[cur.pos] {
		case ' ', '\t', '\r', '\n':
			cur.pos++
		default:
			return cur.data[cur.pos]
		}
	}
	return 0
}

func (cur *cursor) take(want byte) bool {
	if cur.peek() != want {
		return false
	}
	cur.pos++
	return true
}

func (cur *cursor) null() bool {
	if cur.peek() != 'n' {
		return false
	}
	cur.pos += len("null")
	return true
}

// object calls field for each name, which must read the value; null counts as empty.
func (cur *cursor) object(field func(name []byte) bool) bool {
	if cur.null() {
		return true
	}
	if !cur.take('{') {
		return false
	}
	if cur.take('}') {
		return true
	}
	for {
		var name []byte
		if !cur.text(&name) || !cur.take(':') || !field(name) {
			return false
		}
		if !cur.take(',') {
			return cur.take('}')
		}
	}
}

func (cur *cursor) list(item func() bool) bool {
	if cur.null() {
		return true
	}
	if !cur.take('[') {
		return false
	}
	if cur.take(']') {
		return true
	}
	for {
		if !item() {
			return false
		}
		if !cur.take(',') {
			return cur.take(']')
		}
	}
}

// text reads a string; null leaves it empty.
func (cur *cursor) text(out *[]byte) bool {
	if cur.null() {
		*out = nil
		return true
	}
	raw, ok := cur.quoted()
	if !ok {
		return false
	}
	*out = raw[1 : len(raw)-1]
	if bytes.IndexByte(*out, '\\') < 0 && utf8.Valid(*out) {
		return true
	}
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return false
	}
	*out = []byte(text)
	return true
}

func (cur *cursor) quoted() ([]byte, bool) {
	if cur.peek() != '"' {
		return nil, false
	}
	start := cur.pos
	for cur.pos++; cur.pos < len(cur.data); cur.pos++ {
		switch cur.data[cur.pos] {
		case '\\':
			cur.pos++
		case '"':
			cur.pos++
			return cur.data[start:cur.pos], true
		}
	}
	return nil, false
}

func (cur *cursor) number(out *int) bool {
	cur.peek()
	start := cur.pos
	for cur.pos < len(cur.data) && cur.data[cur.pos] >= '0' && cur.data[cur.pos] <= '9' {
		cur.pos++
	}
	num, err := strconv.Atoi(string(cur.data[start:cur.pos]))
	if err != nil {
		return false
	}
	*out = num
	return true
}

func (cur *cursor) skip() bool {
	switch cur.peek() {
	case '{':
		return cur.object(func([]byte) bool { return cur.skip() })
	case '[':
		return cur.list(cur.skip)
	case '"':
		_, ok := cur.quoted()
		return ok
	}
	for cur.pos < len(cur.data) && bytes.IndexByte([]byte(",]} \t\r\n"), cur.data[cur.pos]) < 0 {
		cur.pos++
	}
	return true
}
