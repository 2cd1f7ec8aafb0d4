package enginefaker

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const keyedPromptBytes = 256

// cache is an LRU cache of prompt prefixes, ordered from the least recently used.
type cache struct {
	limit   int
	used    int
	entries []prefix
}

type prefix struct {
	key    string
	tokens int
}

func prefixKey(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt[:min(len(prompt), keyedPromptBytes)]))
}

// use adds a prompt to the cache and returns how many of its tokens were cached and the events of stored and evicted prefixes.
func (cac *cache) use(key string, tokens int) (cached int, evs []event) {
	have := prefix{key: key}
	idx := slices.IndexFunc(cac.entries, func(pre prefix) bool { return pre.key == key })
	if idx >= 0 {
		have = cac.entries[idx]
		cac.entries = slices.Delete(cac.entries, idx, idx+1)
	} else {
		evs = append(evs, event{Kind: eventStored, Prefix: key})
	}
	cached = min(have.tokens, tokens)
	cac.used += tokens - cached
	have.tokens = max(have.tokens, tokens)
	cac.entries = append(cac.entries, have)
	for cac.used > cac.limit && len(cac.entries) > 1 {
		old := cac.entries[0]
		cac.entries = cac.entries[1:]
		cac.used -= old.tokens
		evs = append(evs, event{Kind: eventEvicted, Prefix: old.key})
	}
	return cached, evs
}
