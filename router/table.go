package router

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Table is the immutable lookup table of one configuration.
type Table struct {
	Config
	routesByHost   map[string]map[string]Route
	workspaceByKey map[string]Workspace
	// urgencies holds the different priorities of the requests for each service, sorted.
	urgencies map[string][]int
}

// New returns the table of a configuration; it fails with errors.NotValid when a route names a service that the configuration does not define.
func New(cfg Config) (*Table, error) {
	tab := &Table{Config: cfg, routesByHost: map[string]map[string]Route{}, workspaceByKey: map[string]Workspace{}, urgencies: urgencies(cfg)}
	for _, rou := range cfg.Routes {
		for _, tar := range rou.Targets {
			if _, known := cfg.Services[tar.Service]; !known {
				return nil, errors.NotValidf("router: route %s to unknown service %q", rou.Name, tar.Service)
			}
		}
		host := strings.ToLower(rou.Host)
		if tab.routesByHost[host] == nil {
			tab.routesByHost[host] = map[string]Route{}
		}
		tab.routesByHost[host][rou.Prefix] = rou
	}
	for _, wsp := range cfg.Workspaces {
		for _, key := range wsp.Keys {
			tab.workspaceByKey[key] = wsp
		}
	}
	return tab, nil
}

// Match returns the route of the host with the longest matching path prefix; a port in the host is ignored.
func (tab *Table) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if pos := strings.LastIndexByte(host, ':'); pos >= 0 {
		host = host[:pos]
	}
	prefixes := tab.routesByHost[host]
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

// Workspace returns the workspace that an API key belongs to.
func (tab *Table) Workspace(key string) (Workspace, bool) {
	wsp, known := tab.workspaceByKey[key]
	return wsp, known
}

// HasWorkspaces reports whether callers must send an API key.
func (tab *Table) HasWorkspaces() bool {
	return len(tab.Workspaces) > 0
}

// Target selects the service of a request by the weights of its route; the same request ID always gets the same service.
func (tab *Table) Target(rou Route, requestID string) (Service, bool) {
	sum := 0.0
	for _, tar := range rou.Targets {
		sum += tar.Weight
	}
	if sum <= 0 {
		return Service{}, false
	}
	const buckets = 1 << 20
	remaining := float64(xxhash.Sum64String(requestID)%buckets) / buckets * sum
	for _, tar := range rou.Targets {
		remaining -= tar.Weight
		if remaining < 0 {
			return tab.Services[tar.Service], true
		}
	}
	return Service{}, false
}

// Priority returns the priority of a workspace's requests on a route; 0 is served first.
func (tab *Table) Priority(rou Route, wsp Workspace) int {
	if wsp.Priority != nil {
		return *wsp.Priority
	}
	return rou.Priority
}
