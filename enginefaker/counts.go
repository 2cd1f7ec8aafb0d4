package enginefaker

// Reasons for refusing a request.
const (
	refusedCold       = "cold"
	refusedNotReady   = "not_ready"
	refusedOverloaded = "overloaded"
	refusedFence      = "fence"
)

type counts struct {
	VMs map[string]vmCounts `json:"vms"`
}

type vmCounts struct {
	Started                 int            `json:"started"`
	Completed               int            `json:"completed"`
	Broken                  int            `json:"broken"`
	Cancelled               int            `json:"cancelled"`
	Refused                 map[string]int `json:"refused"`
	FellOver                int            `json:"fell_over"`
	Crashed                 int            `json:"crashed"`
	ServedWithMemberMissing int            `json:"served_with_member_missing"`
	AcceptedAtMS            int64          `json:"accepted_at_ms"`
}

func (sim *Simulator) counts() any {
	sim.mut.Lock()
	defer sim.mut.Unlock()
	cnt := counts{VMs: map[string]vmCounts{}}
	for name, eng := range sim.engines {
		vmc := eng.cnt
		vmc.Refused = map[string]int{}
		for reason, num := range eng.cnt.Refused {
			vmc.Refused[reason] = num
		}
		cnt.VMs[name] = vmc
	}
	return cnt
}
