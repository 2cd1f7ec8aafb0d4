package gatekeeper

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/elector"
	"github.com/lovagelever/lovagelever/gateway"
	"github.com/lovagelever/lovagelever/introducer"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/tailer"
)

// Topics name the topics of the store that entries follow.
type Topics struct {
	// Operator holds what the operator wrote, Servers the list of backend servers, Entries the registrations of entries.
	Operator string
	Servers  string
	Entries  string
}

// Operation is what one record of the operator says: a configuration, or whether an availability zone is out.
type Operation struct {
	Config  *router.Config
	Zone    string
	ZoneOut bool
}

// Platform is what an entry meets outside: the store, the backend servers and the callers' dialect.
type Platform struct {
	Topics  Topics
	Store   tailer.Store
	Records conductor.Records
	Lease   elector.Lease
	Engines conductor.EngineClient
	Dialect gateway.Dialect
	// Operation and Server decode one record of their topics.
	Operation func(rec tailer.Record) (Operation, error)
	Server    func(rec tailer.Record, now time.Time) (registrar.Server, error)
	// Register writes the entry's own registration, Withdraw ends it.
	Register func(ctx context.Context, ent introducer.Entry) error
	Withdraw func(ctx context.Context, name string) error
	// Readiness and Directory answer the platform and the callers.
	Readiness func(ready func() bool) http.Handler
	Directory func(list func(zone string) []string, keep time.Duration) http.Handler
}
