// Package detector is the failure detector of an entry: it probes backend servers whose units show no activity.
package detector
