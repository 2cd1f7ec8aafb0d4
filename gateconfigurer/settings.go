package gateconfigurer

import "time"

// Settings is what a platform tells one entry; addresses are IP:PORT, Address is the IP of the entry's own VM.
type Settings struct {
	Name     string `yaml:"name"`
	Zone     string `yaml:"availability_zone"`
	Region   string `yaml:"region"`
	Address  string `yaml:"address"`
	Listen   Listen `yaml:"listen"`
	Store    Store  `yaml:"store"`
	MemoryMB int    `yaml:"memory_mb"`
	Bounds   Bounds `yaml:"bounds"`
}

// Listen holds the addresses that the entry serves, by who calls them.
type Listen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Directory string `yaml:"directory"`
	Entries   string `yaml:"entries"`
	Metrics   string `yaml:"metrics"`
}

// Store is the platform's log store; ShortestLease is the shortest time to live of a membership in it.
type Store struct {
	Address       string        `yaml:"address"`
	ShortestLease time.Duration `yaml:"shortest_lease"`
}

// Bounds are the limits that the operator sets for the whole system.
type Bounds struct {
	StopGrace                time.Duration `yaml:"stop_grace"`
	LongestDirectoryValidity time.Duration `yaml:"longest_directory_validity"`
	RetryRatio               float64       `yaml:"retry_ratio"`
	RetrySlack               float64       `yaml:"retry_slack"`
	RetryWindow              time.Duration `yaml:"retry_window"`
	LoadWindow               time.Duration `yaml:"load_window"`
}
