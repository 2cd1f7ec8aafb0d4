package gateserver

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/elector"
	"github.com/lovagelever/lovagelever/gateway"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/tailer"
)

// Topics are the names of the topics of the store that entries follow.
type Topics struct {
	// Operator has the records of the operator, Servers the list of backend servers, and Entries the registrations of entries.
	Operator string
	Servers  string
	Entries  string
}

// OperatorRecord is one decoded record of the operator: a configuration, or whether an availability zone is out.
type OperatorRecord struct {
	Config  *router.Config
	Zone    string
	ZoneOut bool
}

// Platform has the interfaces to the environment: the store, the backend servers and the HTTP headers of callers.
type Platform struct {
	Topics Topics
	Store  tailer.Store
	// DropIdle closes the connections to the store that are not in use; it may be nil.
	DropIdle func()
	Records  conductor.Records
	Lease    elector.Lease
	Engines  conductor.EngineClient
	// OnLeaving sets the function that receives the backend servers whose responses to Engines say that they leave.
	OnLeaving func(receive func(ins registrar.Instance))
	// OnPause sets the function that receives those that want no requests for a while.
	OnPause     func(receive func(ins registrar.Instance, dur time.Duration))
	HeaderCodec gateway.HeaderCodec
	// DecodeOperatorRecord and DecodeServer decode one record of the operator and server topics.
	DecodeOperatorRecord func(rec tailer.Record) (OperatorRecord, error)
	DecodeServer         func(rec tailer.Record, now time.Time) (registrar.Server, error)
	// Register writes the registration of this entry and returns its offset and the era of the store, Withdraw removes it.
	Register func(ctx context.Context, ent advertiser.Entry) (offset, era int64, err error)
	Withdraw func(ctx context.Context, name string) error
	// WithdrawOther removes that of another entry, unless the registrations no longer end at an offset.
	WithdrawOther func(ctx context.Context, name string, end int64) error
	// Readiness returns the handler of the readiness check; Directory returns the handler that tells callers the addresses of entries.
	Readiness func(ready func() bool) http.Handler
	Directory func(list func(caller, zone string) []string, keep time.Duration) http.Handler
}
