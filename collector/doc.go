// Package collector reads the bodies of HTTP responses into memory, within limits that a server which sends bytes without end cannot exceed.
package collector
