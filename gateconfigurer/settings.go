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
