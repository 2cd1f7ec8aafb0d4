// Package compressor compresses large record values for the transfer between entries, each once.
package compressor
