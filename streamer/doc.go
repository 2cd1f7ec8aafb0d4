// Package streamer reads the streamed chat completions of a model engine.
//
// An answer is complete only if every chunk carried the ID of the request and
// the next index, the last chunk reported the number of tokens received, and the
// end marker followed. Any other stream is broken after a known number of tokens,
// after which another engine can resume.
package streamer
