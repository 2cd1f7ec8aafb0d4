// Package tailer keeps the newest record of each key of one topic, from the
// platform's store or, while the store does not answer, from other entries.
package tailer
