package loader

import (
	"maps"
	"slices"
	"time"
)

// minArrivalsPerSecond is the minimum number of arrivals for a second to count in WorstSecond.
const minArrivalsPerSecond = 5

// Summary holds the counts and latencies of the samples of one label; times are in milliseconds, shares from 0 to 1.
type Summary struct {
	Label       string         `json:"label"`
	Requests    int            `json:"asked"`
	InTime      int            `json:"in_time"`
	InTimeShare float64        `json:"in_time_share"`
	WorstSecond float64        `json:"worst_second_share"`
	Goodput     float64        `json:"in_time_per_second"`
	Outcomes    map[string]int `json:"outcomes"`
	FirstMedian float64        `json:"first_token_median_ms"`
	FirstP95    float64        `json:"first_token_p95_ms"`
	Median      float64        `json:"whole_median_ms"`
	P99         float64        `json:"whole_p99_ms"`
}

// Summarize returns a summary of all samples and, if there are at least two labels, one for each label.
func Summarize(sams []Sample, span time.Duration, label func(Sample) string) []Summary {
	parts := map[string][]Sample{}
	for _, sam := range sams {
		parts[label(sam)] = append(parts[label(sam)], sam)
	}
	out := []Summary{summarize("all", sams, span)}
	if len(parts) < 2 {
		return out
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		out = append(out, summarize(name, parts[name], span))
	}
	return out
}

func summarize(label string, sams []Sample, span time.Duration) Summary {
	sum := Summary{Label: label, Requests: len(sams), Outcomes: map[string]int{}, WorstSecond: 1}
	var firstTokens, durations []time.Duration
	for _, sam := range sams {
		sum.Outcomes[sam.Outcome]++
		if sam.Outcome != OutcomeComplete {
			continue
		}
		sum.InTime++
		durations = append(durations, sam.Duration)
		if sam.FirstToken > 0 {
			firstTokens = append(firstTokens, sam.FirstToken)
		}
	}
	for _, sec := range Seconds(sams, span) {
		if sec.Requests >= minArrivalsPerSecond {
			sum.WorstSecond = min(sum.WorstSecond, float64(sec.InTime)/float64(sec.Requests))
		}
	}
	sum.InTimeShare = float64(sum.InTime) / float64(max(1, sum.Requests))
	sum.Goodput = float64(sum.InTime) / span.Seconds()
	sum.FirstMedian, sum.FirstP95 = quantile(firstTokens, 0.5), quantile(firstTokens, 0.95)
	sum.Median, sum.P99 = quantile(durations, 0.5), quantile(durations, 0.99)
	return sum
}

// Second counts the requests that arrived in one second and those of them that were answered in time.
type Second struct {
	Requests int `json:"asked"`
	InTime   int `json:"in_time"`
}

// Seconds counts the samples per second of arrival over the span of the load.
func Seconds(sams []Sample, span time.Duration) []Second {
	out := make([]Second, int(span.Seconds())+1)
	for _, sam := range sams {
		sec := &out[int(sam.At.Seconds())]
		sec.Requests++
		if sam.Outcome == OutcomeComplete {
			sec.InTime++
		}
	}
	return out
}

func quantile(durs []time.Duration, part float64) float64 {
	if len(durs) == 0 {
		return 0
	}
	slices.Sort(durs)
	pos := min(len(durs)-1, int(part*float64(len(durs))))
	return float64(durs[pos]) / float64(time.Millisecond)
}
