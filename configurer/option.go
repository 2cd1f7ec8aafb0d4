package configurer

import "time"

// option describes one setting: its key, default value, whether it is required, its parser and its help text.
type option struct {
	name         string
	defaultValue string
	required     bool
	field        field
	doc          string
}

// options returns all settings in the order in which Print writes them.
func options() []option {
	return []option{
		{"name", "", true, text(func(set *Settings) *string { return &set.Name }, checkName), "name of this entry, unique in the deployment"},
		{"availability_zone", "", true, text(func(set *Settings) *string { return &set.Zone }, checkName), "availability zone of this entry"},
		{"region", "", true, text(func(set *Settings) *string { return &set.Region }, checkName), "region of this entry"},
		{"address", "", true, text(func(set *Settings) *string { return &set.Address }, checkAddress), "address that callers connect to"},
		{"rpc_address", "", true, text(func(set *Settings) *string { return &set.RPCAddress }, checkAddress), "address that other entries connect to"},
		{"advertise_address", "", false, text(func(set *Settings) *string { return &set.AdvertiseAddress }, checkAddress), "address given to callers; the default is address"},
		{"advertise_rpc_address", "", false, text(func(set *Settings) *string { return &set.AdvertiseRPCAddress }, checkAddress), "address given to other entries; the default is rpc_address"},
		{"log_address", "", true, text(func(set *Settings) *string { return &set.LogAddress }, checkAddress), "address of the platform's log service"},
		{"vm_list_address", "", true, text(func(set *Settings) *string { return &set.VMListAddress }, checkAddress), "address of the platform's VM list"},
		{"weight_store_address", "", true, text(func(set *Settings) *string { return &set.WeightStoreAddress }, checkAddress), "address of the platform's weight store"},
		{"peers", "", false, addresses(func(set *Settings) *[]string { return &set.Peers }), "rpc_address of other entries, with commas between, to start from while the log is out"},
		{"log_level", "info", false, text(func(set *Settings) *string { return &set.LogLevel }, oneOf("trace", "debug", "info", "warning", "error")), "lowest level that is logged"},
		{"log_format", "text", false, text(func(set *Settings) *string { return &set.LogFormat }, oneOf("text", "json")), "format of the program's own log lines"},
		{"probe_interval", "1s", false, duration(func(set *Settings) *time.Duration { return &set.ProbeInterval }), "time between two probes of a backend server"},
		{"fresh_for", "3s", false, duration(func(set *Settings) *time.Duration { return &set.FreshFor }), "how long an entry takes new work without news"},
		{"suspect_after", "3s", false, duration(func(set *Settings) *time.Duration { return &set.SuspectAfter }), "silence after which another entry is suspected"},
		{"locate_valid_for", "5s", false, duration(func(set *Settings) *time.Duration { return &set.LocateValidFor }), "how long callers keep an answer of locate"},
		{"request_timeout", "60s", false, duration(func(set *Settings) *time.Duration { return &set.RequestTimeout }), "longest time for one request"},
		{"queue_timeout", "5s", false, duration(func(set *Settings) *time.Duration { return &set.QueueTimeout }), "longest wait of a request before it runs"},
		{"stop_timeout", "90s", false, duration(func(set *Settings) *time.Duration { return &set.StopTimeout }), "longest time for a graceful shutdown"},
		{"snapshot_every_records", "1000", false, count(func(set *Settings) *int { return &set.SnapshotEveryRecords }), "records between two snapshots in the log"},
		{"snapshot_within", "1h", false, duration(func(set *Settings) *time.Duration { return &set.SnapshotWithin }), "longest time between two snapshots in the log; well below the log's retention"},
		{"max_body_bytes", "1048576", false, count(func(set *Settings) *int { return &set.MaxBodyBytes }), "largest body of a request"},
		{"max_header_bytes", "32768", false, count(func(set *Settings) *int { return &set.MaxHeaderBytes }), "largest headers of a request, without separators"},
		{"max_message_bytes", "33554432", false, count(func(set *Settings) *int { return &set.MaxMessageBytes }), "largest call of another entry"},
		{"max_calls", "4096", false, count(func(set *Settings) *int { return &set.MaxCalls }), "most calls of one connection of another entry without a response"},
		{"client_memory_mb", "96", false, count(func(set *Settings) *int { return &set.ClientMemoryMB }), "memory in MiB for connections, headers and calls that are being received"},
		{"client_descriptor_percent", "50", false, count(func(set *Settings) *int { return &set.ClientDescriptorPercent }), "share of the files that the process may open for connections of callers and entries"},
		{"outcome_window", "5m", false, duration(func(set *Settings) *time.Duration { return &set.OutcomeWindow }), "how long the outcome of an idempotency key is kept"},
		{"policy", PolicySpareFirst, false, text(func(set *Settings) *string { return &set.Policy }, oneOf(PolicySpareFirst, PolicyReformElsewhere)), "how a replica group that lost a member comes back; reform_elsewhere is for comparison"},
		{"balancer", BalancerAffinity, false, text(func(set *Settings) *string { return &set.Balancer }, oneOf(BalancerAffinity, BalancerRoundRobin)), "how a unit is picked for a request; round_robin is for comparison"},
		{"limits", LimitsHome, false, text(func(set *Settings) *string { return &set.Limits }, oneOf(LimitsHome, LimitsNone)), "what bounds the requests of a unit; none is for comparison and harms cold backend servers"},
	}
}
