package reserver

import "runtime/metrics"

// ProcessUse returns the memory in bytes that the Go runtime has obtained and not returned.
func ProcessUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}
