// Package server implements the entry process: it builds its components, serves HTTP to callers and operators, and serves RPC to other entries.
package server
