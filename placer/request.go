package placer

// Candidate is a VM that belongs to no group.
type Candidate struct {
	Name         string
	Zone         string
	Domain       string
	Accelerators int
	HasWeights   bool // HasWeights is set if the VM already has the weights.
	Leaving      bool
	Unhealthy    bool
	Suspected    bool // Suspected is set if the VM may be a straggler.
	ZoneOut      bool
}

// GroupShape is the shape of a model's replica groups.
type GroupShape struct {
	VMs              int
	AcceleratorsEach int
}

// Request asks for the VMs of one group; ZoneGroups is the number of the model's groups by availability zone, and Shapes holds the shapes of all models.
type Request struct {
	Model      string
	Shape      GroupShape
	Candidates []Candidate
	ZoneGroups map[string]int
	Shapes     []GroupShape
}

// Placement lists the VMs of a group in rank order.
type Placement struct {
	Zone   string
	Domain string
	VMs    []string
}

func (can Candidate) eligible() bool {
	return !can.Leaving && !can.Unhealthy && !can.Suspected && !can.ZoneOut
}

func (nee GroupShape) fits(can Candidate) bool {
	return can.Accelerators >= nee.AcceleratorsEach
}
