package scaler

import (
	"context"
	"time"

	"github.com/lovagelever/lovagelever/logkeeper"
	"github.com/lovagelever/lovagelever/sampler"
)

const (
	entryPrefix = "entry-"
	mebibyte    = 1 << 20
)

// Idle is what a deployment without requests costs; values for one entry are means and, with Worst, the largest.
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

// reading is what one moment shows.
type reading struct {
	at      time.Time
	used    []time.Duration
	metrics []sampler.Metrics
	log     logkeeper.Counts
}

// Idle measures a deployment without requests for a time.
func (sca *Scaler) Idle(ctx context.Context, span time.Duration) (Idle, error) {
	pros, err := sampler.Processes(sca.opt.Processes, entryPrefix)
	if err != nil {
		return Idle{}, err
	}
	one, err := sca.read(ctx, pros)
	if err != nil {
		return Idle{}, err
	}
	sca.opt.Clock.Sleep(span)
	two, err := sca.read(ctx, pros)
	if err != nil {
		return Idle{}, err
	}
	idl := compare(one, two)
	idl.Engines = sca.opt.Engines
	for _, pro := range pros {
		size, err := pro.Resident()
		if err != nil {
			return Idle{}, err
		}
		idl.ResidentMiB += float64(size) / mebibyte / float64(len(pros))
	}
	return idl, nil
}

func (sca *Scaler) read(ctx context.Context, pros []sampler.Process) (reading, error) {
	rdg := reading{at: sca.opt.Clock.Now()}
	var err error
	if rdg.log, err = sca.logCounts(ctx); err != nil {
		return rdg, err
	}
	for _, pro := range pros {
		used, err := pro.Used()
		if err != nil {
			return rdg, err
		}
		rdg.used = append(rdg.used, used)
	}
	for _, address := range sca.opt.Entries {
		met, err := sampler.Scrape(ctx, address)
		if err != nil {
			return rdg, err
		}
		rdg.metrics = append(rdg.metrics, met)
	}
	return rdg, nil
}

func compare(one, two reading) Idle {
	secs := two.at.Sub(one.at).Seconds()
	num := float64(len(one.used))
	idl := Idle{
		Entries:    len(one.used),
		Seconds:    secs,
		LogReads:   float64(two.log.Reads-one.log.Reads) / secs,
		LogAppends: float64(two.log.Appends-one.log.Appends) / secs,
	}
	for i := range one.used {
		share := (two.used[i] - one.used[i]).Seconds() / secs
		idl.CoreShare += share / num
		idl.CoreShareWorst = max(idl.CoreShareWorst, share)
	}
	for i := range one.metrics {
		rate := func(name, peer string) float64 {
			key := "lovagelever_control_bytes_" + name + `{peer="` + peer + `"}`
			return (two.metrics[i][key] - one.metrics[i][key]) / secs
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
