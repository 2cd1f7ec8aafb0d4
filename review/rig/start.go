package rig

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Operation takes the records of the operator.
type Operation interface {
	Put(topic, key string, value []byte) int64
}

// Publish writes a configuration with a route of requests that may run once, and one of streams that may be resumed.
func Publish(ope Operation) error {
	_, err := PublishVersion(ope, 1, 0, []string{Key})
	return err
}

// PublishVersion writes such a configuration with a number of further routes and the keys of the only tenant, and returns its size in bytes.
func PublishVersion(ope Operation, version, further int, keys []string) (size int, err error) {
	routes := []any{map[string]any{
		"name": "book", "host": Host, "path_prefix": "/book/", "type": "unsafe", "timeout_ms": 2000, "goal_ms": 300,
		"priority": 2, "service": "desk", "attempts": 1, "public": false,
	}, map[string]any{
		"name": "chat", "host": Host, "path_prefix": "/chat/", "type": "stream", "timeout_ms": 6000, "goal_ms": 400,
		"priority": 1, "service": "desk", "attempts": 2, "public": false, "resumable": true, "gap_aim_ms": 300,
	}}
	for num := range further {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%07d", num), "host": Host, "path_prefix": fmt.Sprintf("/further%d/", num), "type": "safe", "timeout_ms": 2000, "goal_ms": 300,
			"priority": 2, "service": "desk", "attempts": 2, "public": false,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api_keys": keys}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return 0, err
	}
	ope.Put("keyed.op", "config", data)
	return len(data), nil
}

// AwaitServing waits until each entry has served a request.
func AwaitServing(cal *Caller, gates []*Gate) error {
	for _, gat := range gates {
		if err := gat.AwaitReady(15 * time.Second); err != nil {
			return err
		}
		served := false
		for range 20 {
			if _, status := cal.Send(gat, "usual"); status == 200 {
				served = true
				break
			}
			time.Sleep(250 * time.Millisecond)
		}
		if !served {
			return errors.Timeoutf("rig: %s to serve", gat.Name)
		}
	}
	return nil
}

// StartGates starts entries that use the store at an address; of those that it has started it returns all, also if it fails.
func StartGates(dir string, net, count int, store string, rec *Record) (out []*Gate, err error) {
	for num := range count {
		gat, err := StartGate(dir, net, num, store, rec)
		if err != nil {
			return out, err
		}
		out = append(out, gat)
	}
	return out, nil
}

// StartGate starts one of several entries.
func StartGate(dir string, net, num int, store string, rec *Record) (*Gate, error) {
	gat, err := NewGate(dir, fmt.Sprintf("edge-%d", num+1), fmt.Sprintf("zone-%d", num%3), fmt.Sprintf("127.%d.0.%d", net, num+1), store, rec)
	if err != nil {
		return nil, err
	}
	return gat, gat.Start()
}
