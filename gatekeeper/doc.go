// Package gatekeeper is the entry process on a platform that lists the backend servers and keeps the records: it wires the parts together.
package gatekeeper
