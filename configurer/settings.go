package configurer

import "time"

// Values of the settings policy, balancer and limits; the second value of each is a baseline for comparisons.
const (
	PolicySpareFirst      = "spare_first"
	PolicyReformElsewhere = "reform_elsewhere"
	BalancerAffinity      = "affinity"
	BalancerRoundRobin    = "round_robin"
	LimitsHome            = "home"
	LimitsNone            = "none"
)

// Settings holds the settings that one entry reads at its start; addresses are IP:PORT.
type Settings struct {
	Name                    string
	Zone                    string
	Region                  string
	Address                 string
	RPCAddress              string
	AdvertiseAddress        string
	AdvertiseRPCAddress     string
	LogAddress              string
	VMListAddress           string
	WeightStoreAddress      string
	Peers                   []string
	LogLevel                string
	LogFormat               string
	ProbeInterval           time.Duration
	FreshFor                time.Duration
	SuspectAfter            time.Duration
	LocateValidFor          time.Duration
	RequestTimeout          time.Duration
	QueueTimeout            time.Duration
	StopTimeout             time.Duration
	SnapshotEveryRecords    int
	SnapshotWithin          time.Duration
	MaxBodyBytes            int
	MaxHeaderBytes          int
	MaxMessageBytes         int
	MaxCalls                int
	ClientMemoryMB          int
	ClientDescriptorPercent int
	OutcomeWindow           time.Duration
	Policy                  string
	Balancer                string
	Limits                  string
}
