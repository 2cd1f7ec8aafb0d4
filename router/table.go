package router

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Table answers for one configuration; it does not change.
type Table struct {
	Config
	hosts map[string]map[string]Route
	keys  map[string]Workspace
}

// New returns the table of a configuration; it fails with errors.NotValid when a route names a service that the configuration lacks.
func New(cfg Config) (*Table, error) {
	tab := &Table{Config: cfg, hosts: map[string]map[string]Route{}, keys: map[string]Workspace{}}
	for _, rou := range cfg.Routes {
		for _, tar := range rou.Targets {
			if _, known := cfg.Services[tar.Service]; !known {
				return nil, errors.NotValidf("router: route %s to unknown service %q", rou.Name, tar.Service)
			}
		}
		host := strings.ToLower(rou.Host)
		if tab.hosts[host] == nil {
			tab.hosts[host] = map[string]Route{}
		}
		tab.hosts[host][rou.Prefix] = rou
	}
	for _, wsp := range cfg.Workspaces {
		for _, key := range wsp.Keys {
			tab.keys[key] = wsp
		}
	}
	return tab, nil
}

// Match returns the route of the host with the longest prefix of the path; a port in the host is ignored.
func (tab *Table) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if pos := strings.LastIndexByte(host, ':'); pos >= 0 {
		host = host[:pos]
	}
	prefixes := tab.hosts[host]
	for end := len(path); end > 0 && prefixes != nil; {
		pos := strings.LastIndexByte(path[:end], '/')
		if pos < 0 {
			break
		}
		if rou, known := prefixes[path[:pos+1]]; known {
			return rou, true
		}
		end = pos
	}
	return Route{}, false
}

// Workspace returns the workspace that holds an API key.
func (tab *Table) Workspace(key string) (Workspace, bool) {
	wsp, known := tab.keys[key]
	return wsp, known
}

// HasWorkspaces reports whether callers must show an API key.
func (tab *Table) HasWorkspaces() bool {
	return len(tab.Workspaces) > 0
}

// Target picks the service of one request by the weights of its route; the same ID gets the same service.
func (tab *Table) Target(rou Route, requestID string) (Service, bool) {
	sum := 0.0
	for _, tar := range rou.Targets {
		sum += tar.Weight
	}
	if sum <= 0 {
		return Service{}, false
	}
	const buckets = 1 << 20
	left := float64(xxhash.Sum64String(requestID)%buckets) / buckets * sum
	for _, tar := range rou.Targets {
		left -= tar.Weight
		if left < 0 {
			return tab.Services[tar.Service], true
		}
	}
	return Service{}, false
}

// Priority is the rank of a workspace's request on a route, 0 first.
func (tab *Table) Priority(rou Route, wsp Workspace) int {
	if wsp.Priority != nil {
		return *wsp.Priority
	}
	return rou.Priority
}
