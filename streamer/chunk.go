package streamer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// chunk is one event of a stream; its byte slices may point into the line that it was parsed from.
type chunk struct {
	id               []byte
	index            int
	content          []byte
	finishReason     []byte
	completionTokens int
	promptTokens     int
}

const unset = -1

// parse parses the JSON of an event and copies only strings that need decoding; it reports false for anything that is not a chunk.
func (chu *chunk) parse(line []byte) bool {
	*chu = chunk{index: unset, completionTokens: unset}
	if !json.Valid(line) {
		return false
	}
	cur := cursor{data: line}
	ok := cur.readObject(func(name []byte) bool {
		switch string(name) {
		case "id":
			return cur.readString(&chu.id)
		case "index":
			return cur.readInt(&chu.index)
		case "choices":
			return cur.readChoices(chu)
		case "usage":
			return cur.readUsage(chu)
		default:
			return cur.skipValue()
		}
	})
	return ok && chu.index >= 0 && len(chu.id) > 0
}

func (cur *cursor) readChoices(chu *chunk) bool {
	count := 0
	ok := cur.readArray(func() bool {
		count++
		return cur.readObject(func(name []byte) bool {
			switch string(name) {
			case "delta":
				return cur.readDelta(chu)
			case "finish_reason":
				return cur.readString(&chu.finishReason)
			default:
				return cur.skipValue()
			}
		})
	})
	return ok && count <= 1
}

func (cur *cursor) readDelta(chu *chunk) bool {
	return cur.readObject(func(name []byte) bool {
		if string(name) == "content" {
			return cur.readString(&chu.content)
		}
		return cur.skipValue()
	})
}

func (cur *cursor) readUsage(chu *chunk) bool {
	return cur.readObject(func(name []byte) bool {
		switch string(name) {
		case "completion_tokens":
			return cur.readInt(&chu.completionTokens)
		case "prompt_tokens":
			return cur.readInt(&chu.promptTokens)
		default:
			return cur.skipValue()
		}
	})
}

// cursor reads JSON that has already been validated.
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

func (cur *cursor) consume(want byte) bool {
	if cur.peek() != want {
		return false
	}
	cur.pos++
	return true
}

func (cur *cursor) consumeNull() bool {
	if cur.peek() != 'n' {
		return false
	}
	cur.pos += len("null")
	return true
}

// readObject calls field for each name, and field must consume the value; null is read as an empty object.
func (cur *cursor) readObject(field func(name []byte) bool) bool {
	if cur.consumeNull() {
		return true
	}
	if !cur.consume('{') {
		return false
	}
	if cur.consume('}') {
		return true
	}
	for {
		var name []byte
		if !cur.readString(&name) || !cur.consume(':') || !field(name) {
			return false
		}
		if !cur.consume(',') {
			return cur.consume('}')
		}
	}
}

func (cur *cursor) readArray(item func() bool) bool {
	if cur.consumeNull() {
		return true
	}
	if !cur.consume('[') {
		return false
	}
	if cur.consume(']') {
		return true
	}
	for {
		if !item() {
			return false
		}
		if !cur.consume(',') {
			return cur.consume(']')
		}
	}
}

// readString reads a string; null is read as nil.
func (cur *cursor) readString(out *[]byte) bool {
	if cur.consumeNull() {
		*out = nil
		return true
	}
	raw, ok := cur.readQuoted()
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

func (cur *cursor) readQuoted() ([]byte, bool) {
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

func (cur *cursor) readInt(out *int) bool {
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

func (cur *cursor) skipValue() bool {
	switch cur.peek() {
	case '{':
		return cur.readObject(func([]byte) bool { return cur.skipValue() })
	case '[':
		return cur.readArray(cur.skipValue)
	case '"':
		_, ok := cur.readQuoted()
		return ok
	}
	for cur.pos < len(cur.data) && bytes.IndexByte([]byte(",]} \t\r\n"), cur.data[cur.pos]) < 0 {
		cur.pos++
	}
	return true
}
