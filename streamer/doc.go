// Package streamer reads the streamed chat completions of a model engine.
//
// An answer is whole only when each chunk carried the request's own ID and the
// next index, the last one the number of tokens that were seen, and the end
// marker came. Anything else is broken after a known number of tokens, from
// which another engine can go on.
package streamer
