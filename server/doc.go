// Package server is the entry process: it wires the parts together and speaks HTTP to callers and operators.
package server
