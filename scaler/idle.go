package scaler

import (
	"context"
	"time"

	"github.com/lovagelever/lovagelever/logfaker"
	"github.com/lovagelever/lovagelever/sampler"
)

const (
	entryPrefix = "entry-"
	mebibyte    = 1 << 20
)

// Idle is the cost of a deployment without requests; values per entry are means over the entries, or the maximum if the name ends in Worst.
type Idle struct {
	Entries         int     `json:"entries"`
	Engines         int     `json:"engines"`
	Seconds         float64 `json:"seconds"`
	CoreShare       float64 `json:"core_share"`
	CoreShareWorst  float64 `json:"core_share_worst"`
	ResidentMiB     float64 `json:"resident_mib"`
	EntriesIn       float64 `json:"entries_bytes_in_per_second"`
	EntriesOut      float64 `json:"entries_bytes_out_per_second"`
	OthersIn        float64 `json:"others_bytes_in_per_second"`
	OthersOut       float64 `json:"others_bytes_out_per_second"`
	LogReads        float64 `json:"log_reads_per_second"`
	LogAppends      float64 `json:"log_appends_per_second"`
	ControlInWorst  float64 `json:"control_bytes_in_per_second_worst"`
	ControlOutWorst float64 `json:"control_bytes_out_per_second_worst"`
}

// snapshot holds the counters read at one time.
type snapshot struct {
	at             time.Time
	processorTimes []time.Duration
	metrics        []sampler.Metrics
	log            logfaker.Counts
}

// MeasureIdle measures a deployment without requests over the span.
func (sca *Scaler) MeasureIdle(ctx context.Context, span time.Duration) (Idle, error) {
	pros, err := sampler.Processes(sca.opt.Processes, entryPrefix)
	if err != nil {
		return Idle{}, err
	}
	before, err := sca.takeSnapshot(ctx, pros)
	if err != nil {
		return Idle{}, err
	}
	sca.opt.Clock.Sleep(span)
	after, err := sca.takeSnapshot(ctx, pros)
	if err != nil {
		return Idle{}, err
	}
	idl := idleBetween(before, after)
	idl.Engines = sca.opt.Engines
	for _, pro := range pros {
		size, err := pro.ResidentMemory()
		if err != nil {
			return Idle{}, err
		}
		idl.ResidentMiB += float64(size) / mebibyte / float64(len(pros))
	}
	return idl, nil
}

func (sca *Scaler) takeSnapshot(ctx context.Context, pros []sampler.Process) (snapshot, error) {
	snp := snapshot{at: sca.opt.Clock.Now()}
	var err error
	if snp.log, err = sca.logCounts(ctx); err != nil {
		return snp, err
	}
	for _, pro := range pros {
		used, err := pro.CPUTime()
		if err != nil {
			return snp, err
		}
		snp.processorTimes = append(snp.processorTimes, used)
	}
	for _, address := range sca.opt.Entries {
		met, err := sampler.Scrape(ctx, address)
		if err != nil {
			return snp, err
		}
		snp.metrics = append(snp.metrics, met)
	}
	return snp, nil
}

func idleBetween(before, after snapshot) Idle {
	secs := after.at.Sub(before.at).Seconds()
	num := float64(len(before.processorTimes))
	idl := Idle{
		Entries:    len(before.processorTimes),
		Seconds:    secs,
		LogReads:   float64(after.log.Reads-before.log.Reads) / secs,
		LogAppends: float64(after.log.Appends-before.log.Appends) / secs,
	}
	for i := range before.processorTimes {
		share := (after.processorTimes[i] - before.processorTimes[i]).Seconds() / secs
		idl.CoreShare += share / num
		idl.CoreShareWorst = max(idl.CoreShareWorst, share)
	}
	for i := range before.metrics {
		rate := func(name, peer string) float64 {
			key := "lovagelever_control_bytes_" + name + `{peer="` + peer + `"}`
			return (after.metrics[i][key] - before.metrics[i][key]) / secs
		}
		entriesIn, othersIn := rate("in", "entries"), rate("in", "others")
		entriesOut, othersOut := rate("out", "entries"), rate("out", "others")
		idl.EntriesIn += entriesIn / num
		idl.OthersIn += othersIn / num
		idl.EntriesOut += entriesOut / num
		idl.OthersOut += othersOut / num
		idl.ControlInWorst = max(idl.ControlInWorst, entriesIn+othersIn)
		idl.ControlOutWorst = max(idl.ControlOutWorst, entriesOut+othersOut)
	}
	return idl
}
