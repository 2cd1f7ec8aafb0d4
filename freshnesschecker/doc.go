// Package freshnesschecker decides whether the state of an entry is recent enough to accept new requests.
package freshnesschecker
