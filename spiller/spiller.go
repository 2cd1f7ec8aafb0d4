package spiller

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// needShare is the share of an objective from which requests at home are at risk: predictions don't contain those that are under way.
	needShare = 0.5
	// roomShare is the share of an objective above which a zone is short itself.
	roomShare = 0.9
	// worthShare is the share of an objective by which leaving must be faster to be worth the traffic between zones.
	worthShare = 0.05
	// reactionTime is added to the age of loads for the time in which a request that was sent shows in them.
	reactionTime = 100 * time.Millisecond
	// integralDelays is how many delays the integral part takes to add what the proportional part gives at once.
	integralDelays = 8
)

// Reason says why requests leave the availability zone or stay there.
type Reason string

// The reasons of a share: Enough says that the own zone keeps the objective, Gain that another zone is faster and has room, NoGain that none is.
const (
	Enough Reason = "enough_at_home"
	Gain   Reason = "faster_elsewhere"
	NoGain Reason = "no_zone_faster"
)

// Zone is another availability zone: First is the predicted time to the first event there, Crossing the time to the zone and back, and Units how many units can take the request.
type Zone struct {
	Name     string
	First    time.Duration
	Crossing time.Duration
	Units    int
}

// total returns the time to the first event for a caller of another zone.
func (zon Zone) total() time.Duration {
	return zon.First + zon.Crossing
}

// Question asks where a request should go: Home is the predicted time to its first event in the own zone, Left what is left of its objective, zero if that is unknown or past, and LoadAge how old the loads are.
type Question struct {
	Home    time.Duration
	Left    time.Duration
	LoadAge time.Duration
	Away    []Zone
}

// Spiller holds the share of one pool at one entry; it isn't safe for concurrent use.
type Spiller struct {
	clk      clockwork.Clock
	integral float64
	share    float64
	reason   Reason
	at       time.Time
}

// New returns a spiller from which nothing leaves yet.
func New(clk clockwork.Clock) *Spiller {
	return &Spiller{clk: clk, reason: Enough}
}

// Share returns the share of requests that leaves the zone, and why.
func (spi *Spiller) Share() (float64, Reason) {
	return spi.share, spi.reason
}

// Choose returns the zone that a request should go to, empty for the own one; random is in [0, 1).
func (spi *Spiller) Choose(que Question, random float64) string {
	if len(que.Away) == 0 {
		spi.integral, spi.share, spi.reason = 0, 0, NoGain
		return ""
	}
	excess := que.excess(que.Away[0])
	for _, zon := range que.Away[1:] {
		excess = max(excess, que.excess(zon))
	}
	spi.update(que, excess)
	if random >= spi.share {
		return ""
	}
	return que.destination(random / spi.share)
}

// update adapts the share to the time by which first events at home are too late, if negative too early, for the other zone to which leaving pays most.
//
// It is a proportional-integral controller for a backlog that answers after a delay, with Skogestad's gains: a backlog of twice the delay sends all requests away.
func (spi *Spiller) update(que Question, excess time.Duration) {
	now := spi.clk.Now()
	delay := que.LoadAge + reactionTime
	passed := min(now.Sub(spi.at), delay)
	if spi.at.IsZero() {
		passed = 0
	}
	spi.at = now
	proportional := excess.Seconds() / (2 * delay.Seconds())
	spi.integral = clamp(spi.integral + proportional*passed.Seconds()/(integralDelays*delay.Seconds()))
	spi.share = clamp(spi.integral + proportional)
	spi.reason = NoGain
	switch {
	case spi.share > 0:
		spi.reason = Gain
	case que.Left > 0 && que.Home <= que.part(needShare):
		spi.reason = Enough
	}
}

// excess returns by how much the first event at home is later than it has to be, limited by what another zone gains and has room for.
func (que Question) excess(zon Zone) time.Duration {
	out := que.Home - zon.total() - que.part(worthShare)
	if que.Left > 0 {
		out = min(out, que.Home-que.part(needShare), que.part(roomShare)-zon.total())
	}
	return out
}

// part returns a share of what is left of the objective.
func (que Question) part(share float64) time.Duration {
	return time.Duration(share * float64(que.Left))
}

// destination returns one of the zones that are faster and keep the objective themselves, in proportion to their units and the time that they gain; it is empty if there is none.
func (que Question) destination(random float64) string {
	sum := 0.0
	for _, zon := range que.Away {
		sum += que.weight(zon)
	}
	left := random * sum
	for _, zon := range que.Away {
		if wei := que.weight(zon); wei > 0 {
			if left -= wei; left < 0 {
				return zon.Name
			}
		}
	}
	return ""
}

func (que Question) weight(zon Zone) float64 {
	gain := que.Home - zon.total()
	if que.Left > 0 {
		gain = min(gain, que.Left-zon.total())
	}
	return float64(zon.Units) * max(0, gain.Seconds())
}

func clamp(val float64) float64 {
	return min(1, max(0, val))
}
