package server

import (
	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/completer"
	"github.com/lovagelever/lovagelever/configurer"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/planner"
)

func (srv *Server) newPlanner(region string) *planner.Planner {
	pla := planner.New(region)
	pla.Options.ReformElsewhere = srv.settings.Policy == configurer.PolicyReformElsewhere
	return pla
}

func (srv *Server) newBalancer(bre balancer.Breaker) completer.Balancer {
	if srv.settings.Balancer == configurer.BalancerRoundRobin {
		return balancer.NewRoundRobin()
	}
	return balancer.New(bre, seedOf(srv.settings.Name))
}

func limiterFactory(limits string) func(limiter.Options) admitter.Limiter {
	if limits == configurer.LimitsNone {
		return func(limiter.Options) admitter.Limiter { return limiter.NewUnlimited() }
	}
	return func(opt limiter.Options) admitter.Limiter { return limiter.New(opt) }
}
