// Package balancer picks the unit that a request asks for a place.
package balancer
