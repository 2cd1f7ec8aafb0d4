package router

import "slices"

// urgencies returns, for each service, the different priorities of the requests that its routes and the workspaces bring, the most urgent first.
func urgencies(cfg Config) map[string][]int {
	var ofWorkspaces []int
	for _, wsp := range cfg.Workspaces {
		if wsp.Priority != nil {
			ofWorkspaces = append(ofWorkspaces, *wsp.Priority)
		}
	}
	out := map[string][]int{}
	for _, rou := range cfg.Routes {
		for _, tar := range rou.Targets {
			out[tar.Service] = append(out[tar.Service], rou.Priority)
			out[tar.Service] = append(out[tar.Service], ofWorkspaces...)
		}
	}
	for service, list := range out {
		slices.Sort(list)
		out[service] = slices.Compact(list)
	}
	return out
}

// Urgency returns the class of urgency of a priority among the requests for a service, from 1 for the most urgent; 0 means that all of them have the same priority.
func (tab *Table) Urgency(service string, priority int) int {
	list := tab.urgencies[service]
	if len(list) < 2 {
		return 0
	}
	pos, _ := slices.BinarySearch(list, priority)
	return 1 + pos
}
