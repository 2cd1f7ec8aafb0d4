// Package hoster serves an HTTP handler at an address and can stop and start again there.
package hoster
