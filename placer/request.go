package placer

// Candidate is a VM that is in no group.
type Candidate struct {
	Name         string
	Zone         string
	Domain       string
	Accelerators int
	Holds        bool // Holds reports that the VM has the weights already.
	Leaving      bool
	Unhealthy    bool
	Suspected    bool // Suspected reports that the VM may be a straggler.
	ZoneOut      bool
}

// Need is the shape of a model's groups.
type Need struct {
	VMs              int
	AcceleratorsEach int
}

// Request asks for the VMs of one group; ZoneGroups counts the model's groups by availability zone, and Needs are the shapes of all models.
type Request struct {
	Model      string
	Need       Need
	Candidates []Candidate
	ZoneGroups map[string]int
	Needs      []Need
}

// Placement names the VMs of a group in the order of their ranks.
type Placement struct {
	Zone   string
	Domain string
	VMs    []string
}

func (can Candidate) usable() bool {
	return !can.Leaving && !can.Unhealthy && !can.Suspected && !can.ZoneOut
}

func (nee Need) fits(can Candidate) bool {
	return can.Accelerators >= nee.AcceleratorsEach
}
