package collector

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns a transport that limits the heads of responses and keeps up to idlePerHost idle connections to each server; bodies are not decompressed, so that their size is that of the bytes received.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			con, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return Guard(con), nil
		},
		MaxIdleConnsPerHost:    idlePerHost,
		MaxResponseHeaderBytes: MaxHeadBytes,
		DisableCompression:     true,
	}
}
