// Package messenger makes and serves RPC calls between entries over net/rpc.
package messenger
