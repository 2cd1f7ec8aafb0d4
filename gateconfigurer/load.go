package gateconfigurer

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"
)

const (
	// maxHeldShare leaves half of an entry's memory to everything else.
	maxHeldShare = 0.5
	// minRefuseShare is the share of the held bytes that large bodies and streams may fill without new requests being refused.
	minRefuseShare = 0.5
	// maxClientShare leaves the other half of an entry's memory to everything but the connections of clients.
	maxClientShare = 0.5
	// maxHeaderKB is the largest limit of headers that an entry keeps.
	maxHeaderKB = 1024
)

// Load reads the settings from a file; it fails with an errors.NotValid that names every invalid field.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Annotate(err, "gateconfigurer: read settings")
	}
	return Parse(data)
}

// Parse reads settings from YAML and ignores unknown keys; it fails with an errors.NotValid that names every invalid field.
func Parse(data []byte) (Settings, error) {
	var set Settings
	if err := yaml.Unmarshal(data, &set); err != nil {
		return Settings{}, errors.NewNotValid(err, "gateconfigurer: settings"+quoteLines(err, data))
	}
	set.Bounds.setDefaults()
	set.Held.setDefaults()
	set.Clients.setDefaults()
	if faults := set.faults(); len(faults) > 0 {
		return Settings{}, errors.NotValidf("gateconfigurer: settings (%s)", strings.Join(faults, "; "))
	}
	return set, nil
}

// quoteLines quotes the source lines of a YAML type error, because the error gives line numbers but no field names.
func quoteLines(err error, data []byte) string {
	var typ *yaml.TypeError
	if !errors.As(err, &typ) {
		return ""
	}
	lines := strings.Split(string(data), "\n")
	out := ""
	for _, text := range typ.Errors {
		var num int
		if _, err := fmt.Sscanf(text, "line %d:", &num); err == nil && num > 0 && num <= len(lines) {
			out += fmt.Sprintf(", at %q", strings.TrimSpace(lines[num-1]))
		}
	}
	return out
}

func (set Settings) faults() []string {
	var out []string
	texts := []struct{ key, val string }{
		{"name", set.Name}, {"availability_zone", set.Zone}, {"region", set.Region},
	}
	for _, one := range texts {
		if one.val == "" {
			out = append(out, one.key+" missing")
		}
	}
	if _, err := netip.ParseAddr(set.Address); err != nil {
		out = append(out, "address is not an IP address")
	}
	addresses := []struct{ key, val string }{
		{"listen.callers", set.Listen.Callers}, {"listen.readiness", set.Listen.Readiness},
		{"listen.directory", set.Listen.Directory}, {"listen.entries", set.Listen.Entries},
		{"listen.metrics", set.Listen.Metrics}, {"store.address", set.Store.Address},
	}
	for _, one := range addresses {
		if !isAddress(one.val) {
			out = append(out, one.key+" is not IP:PORT")
		}
	}
	if set.Listen.Forwarding != "" && !isAddress(set.Listen.Forwarding) {
		out = append(out, "listen.forwarding is not IP:PORT")
	}
	return append(out, set.numberFaults()...)
}

func isAddress(text string) bool {
	adr, err := netip.ParseAddrPort(text)
	return err == nil && adr.Port() != 0
}

func (set Settings) numberFaults() []string {
	var out []string
	durations := []struct {
		key string
		val time.Duration
	}{
		{"store.shortest_lease", set.Store.ShortestLease},
		{"bounds.stop_grace", set.Bounds.StopGrace}, {"bounds.longest_directory_validity", set.Bounds.LongestDirectoryValidity},
		{"bounds.retry_window", set.Bounds.RetryWindow},
		{"bounds.load_window", set.Bounds.LoadWindow},
		{"bounds.config_limit", set.Bounds.ConfigLimit}, {"bounds.leave_limit", set.Bounds.LeaveLimit},
	}
	for _, one := range durations {
		if one.val <= 0 {
			out = append(out, one.key+" must be above zero")
		}
	}
	numbers := []struct {
		key string
		val float64
	}{
		{"memory_mb", float64(set.MemoryMB)}, {"bounds.retry_ratio", set.Bounds.RetryRatio},
	}
	for _, one := range numbers {
		if one.val <= 0 {
			out = append(out, one.key+" must be above zero")
		}
	}
	capacities := []struct {
		key string
		val float64
	}{
		{"cpu_cores", set.CPUCores}, {"link_mbps", set.LinkMbps}, {"descriptors", float64(set.Descriptors)},
	}
	for _, one := range capacities {
		if one.val < 0 {
			out = append(out, one.key+" must not be below zero")
		}
	}
	if set.Held.MemoryShare < 0 || set.Held.MemoryShare > maxHeldShare {
		out = append(out, fmt.Sprintf("held.memory_share must be between 0 and %v", maxHeldShare))
	}
	if set.Held.RefuseShare <= minRefuseShare || set.Held.RefuseShare > 1 {
		out = append(out, fmt.Sprintf("held.refuse_share must be above %v and at most 1", minRefuseShare))
	}
	if set.Held.StreamKB < 0 {
		out = append(out, "held.stream_kb must not be below zero")
	}
	if set.Held.UnreadFor < 0 {
		out = append(out, "held.unread_for must not be below zero")
	}
	return append(out, set.Clients.faults()...)
}
