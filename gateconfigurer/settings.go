package gateconfigurer

import (
	"cmp"
	"fmt"
	"time"
)

// Settings holds the settings that a platform gives to one entry; addresses are IP:PORT, except Address, the IP address of the VM that the entry runs on.
type Settings struct {
	Name     string `yaml:"name"`
	Zone     string `yaml:"availability_zone"`
	Region   string `yaml:"region"`
	Address  string `yaml:"address"`
	Listen   Listen `yaml:"listen"`
	Store    Store  `yaml:"store"`
	MemoryMB int    `yaml:"memory_mb"`
	// CPUCores is the processor capacity of the VM in cores, zero if unknown.
	CPUCores float64 `yaml:"cpu_cores"`
	// LinkMbps is the capacity of the VM's link in megabits per second, and Descriptors the number of file descriptors that the entry may open, zero if unknown.
	LinkMbps    float64 `yaml:"link_mbps"`
	Descriptors int     `yaml:"descriptors"`
	Bounds      Bounds  `yaml:"bounds"`
	Held        Held    `yaml:"held"`
	Clients     Clients `yaml:"clients"`
}

// Listen holds the addresses that the entry listens on, one for each kind of client. Without Forwarding the entry takes no requests that other entries forward.
type Listen struct {
	Callers    string `yaml:"callers"`
	Readiness  string `yaml:"readiness"`
	Directory  string `yaml:"directory"`
	Entries    string `yaml:"entries"`
	Metrics    string `yaml:"metrics"`
	Forwarding string `yaml:"forwarding"`
}

// Store describes the platform's log store; ShortestLease is the shortest time to live that it accepts for a membership.
type Store struct {
	Address       string        `yaml:"address"`
	ShortestLease time.Duration `yaml:"shortest_lease"`
}

// Bounds holds the limits that the operator sets for the whole system; RetryRatio and RetrySlack bound the retries within RetryWindow. ConfigLimit is the time within which an accepted configuration must be in force, and LeaveLimit that within which a backend server that leaves must get no more requests; zero means DefaultChangeLimit.
type Bounds struct {
	StopGrace                time.Duration `yaml:"stop_grace"`
	LongestDirectoryValidity time.Duration `yaml:"longest_directory_validity"`
	RetryRatio               float64       `yaml:"retry_ratio"`
	RetrySlack               float64       `yaml:"retry_slack"`
	RetryWindow              time.Duration `yaml:"retry_window"`
	LoadWindow               time.Duration `yaml:"load_window"`
	ConfigLimit              time.Duration `yaml:"config_limit"`
	LeaveLimit               time.Duration `yaml:"leave_limit"`
}

// DefaultChangeLimit is the default of the limits for changes.
const DefaultChangeLimit = 2 * time.Second

func (bou *Bounds) setDefaults() {
	bou.ConfigLimit = cmp.Or(bou.ConfigLimit, DefaultChangeLimit)
	bou.LeaveLimit = cmp.Or(bou.LeaveLimit, DefaultChangeLimit)
}

// ShortestLimit returns the shorter one of the limits for changes.
func (bou Bounds) ShortestLimit() time.Duration {
	return min(cmp.Or(bou.ConfigLimit, DefaultChangeLimit), cmp.Or(bou.LeaveLimit, DefaultChangeLimit))
}

// Held limits what the entry holds in memory for callers and backend servers that read slowly; zero means the default of a field.
type Held struct {
	// MemoryShare is the share of the entry's memory that may be held.
	MemoryShare float64 `yaml:"memory_share"`
	// RefuseShare is the share of that above which new requests are refused.
	RefuseShare float64 `yaml:"refuse_share"`
	// StreamKB is the most that one stream may hold, in KiB.
	StreamKB int `yaml:"stream_kb"`
	// UnreadFor is how long a backend server's stream may stay unread for want of memory before it is given up; backend servers cut off what stays unread longer.
	UnreadFor time.Duration `yaml:"unread_for"`
}

// DefaultHeld holds the defaults of Held.
var DefaultHeld = Held{MemoryShare: 0.2, RefuseShare: 0.75, StreamKB: 512, UnreadFor: 2 * time.Second}

func (hel *Held) setDefaults() {
	if hel.MemoryShare == 0 {
		hel.MemoryShare = DefaultHeld.MemoryShare
	}
	if hel.RefuseShare == 0 {
		hel.RefuseShare = DefaultHeld.RefuseShare
	}
	if hel.StreamKB == 0 {
		hel.StreamKB = DefaultHeld.StreamKB
	}
	if hel.UnreadFor == 0 {
		hel.UnreadFor = DefaultHeld.UnreadFor
	}
}

// Clients limits what the connections of clients and other entries cost; zero means the default of a field.
type Clients struct {
	// MemoryShare is the share of the entry's memory that connections, heads of requests and messages may need together.
	MemoryShare float64 `yaml:"memory_share"`
	// DescriptorShare is the share of the entry's descriptors that connections may use.
	DescriptorShare float64 `yaml:"descriptor_share"`
	// HeaderKB is the largest size of the headers of a request in KiB, and HeaderTimeout the time to receive them, where the configuration sets none.
	HeaderKB      int           `yaml:"header_kb"`
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// MessageKB is the largest size of a call of another entry in KiB, and Calls how many calls of one connection may be without a response.
	MessageKB int `yaml:"message_kb"`
	Calls     int `yaml:"calls"`
}

// DefaultClients holds the defaults of Clients.
var DefaultClients = Clients{MemoryShare: 0.3, DescriptorShare: 0.5, HeaderKB: 64, HeaderTimeout: 5 * time.Second, MessageKB: 1024, Calls: 16}

func (cli *Clients) setDefaults() {
	cli.MemoryShare = cmp.Or(cli.MemoryShare, DefaultClients.MemoryShare)
	cli.DescriptorShare = cmp.Or(cli.DescriptorShare, DefaultClients.DescriptorShare)
	cli.HeaderKB = cmp.Or(cli.HeaderKB, DefaultClients.HeaderKB)
	cli.HeaderTimeout = cmp.Or(cli.HeaderTimeout, DefaultClients.HeaderTimeout)
	cli.MessageKB = cmp.Or(cli.MessageKB, DefaultClients.MessageKB)
	cli.Calls = cmp.Or(cli.Calls, DefaultClients.Calls)
}

// faults returns what is wrong with the limits.
func (cli Clients) faults() []string {
	var out []string
	if cli.MemoryShare < 0 || cli.MemoryShare > maxClientShare {
		out = append(out, fmt.Sprintf("clients.memory_share must be between 0 and %v", maxClientShare))
	}
	if cli.DescriptorShare < 0 || cli.DescriptorShare >= 1 {
		out = append(out, "clients.descriptor_share must be between 0 and 1")
	}
	if cli.HeaderKB < 0 || cli.HeaderKB > maxHeaderKB {
		out = append(out, fmt.Sprintf("clients.header_kb must be between 0 and %d", maxHeaderKB))
	}
	for key, val := range map[string]int{"clients.message_kb": cli.MessageKB, "clients.calls": cli.Calls, "clients.header_timeout": int(cli.HeaderTimeout)} {
		if val < 0 {
			out = append(out, key+" must not be below zero")
		}
	}
	return out
}
