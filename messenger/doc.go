// Package messenger calls other entries by net/rpc.
package messenger
