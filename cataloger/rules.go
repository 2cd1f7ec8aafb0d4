package cataloger

// Rules are the operators' settings that apply on top of the inventory.
type Rules struct {
	DisabledZones []string                 `json:"availability_zones_out,omitempty" yaml:"availability_zones_out,omitempty"`
	Workspaces    map[string]WorkspaceRule `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
}

// WorkspaceRule sets the priority, the weight (its share) and the objectives of a workspace.
type WorkspaceRule struct {
	Priority   int                  `json:"priority" yaml:"priority"`
	Weight     int                  `json:"weight" yaml:"weight"`
	Objectives map[string]Objective `json:"objectives,omitempty" yaml:"objectives,omitempty"`
}

// Objective is the service-level objective of one request class; Target is the required share of good requests, above 0 and below 1.
type Objective struct {
	Target       float64  `json:"target" yaml:"target"`
	FirstTokenIn Duration `json:"first_token_in,omitempty" yaml:"first_token_in,omitempty"`
	CompleteIn   Duration `json:"whole_in,omitempty" yaml:"whole_in,omitempty"`
}

// ZoneDisabled reports whether operators have taken the availability zone out of service.
func (rul Rules) ZoneDisabled(zone string) bool {
	for _, out := range rul.DisabledZones {
		if out == zone {
			return true
		}
	}
	return false
}
