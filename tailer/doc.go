// Package tailer keeps the newest record of each key of one topic. It reads the
// platform's store, or other entries when the store does not answer or enough
// of them read it already.
package tailer
