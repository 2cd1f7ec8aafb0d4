package gateserver

import "github.com/lovagelever/lovagelever/heartbeater"

// onDemand uses what the callers of another entry ask for.
func (gat *Server) onDemand(string, []heartbeater.Demand) {}

// ownDemand returns what the callers of this entry ask for, by pool.
func (gat *Server) ownDemand() []heartbeater.Demand { return nil }
