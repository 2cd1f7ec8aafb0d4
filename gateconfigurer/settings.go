package gateconfigurer

import "time"

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

// Bounds holds the limits that the operator sets for the whole system; RetryRatio and RetrySlack bound the retries within RetryWindow.
type Bounds struct {
	StopGrace                time.Duration `yaml:"stop_grace"`
	LongestDirectoryValidity time.Duration `yaml:"longest_directory_validity"`
	RetryRatio               float64       `yaml:"retry_ratio"`
	RetrySlack               float64       `yaml:"retry_slack"`
	RetryWindow              time.Duration `yaml:"retry_window"`
	LoadWindow               time.Duration `yaml:"load_window"`
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
