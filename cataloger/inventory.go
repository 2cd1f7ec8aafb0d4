package cataloger

// Kinds of worker that a VM can run: a model engine or a plain service.
const (
	WorkerEngine  = "engine"
	WorkerService = "service"
)

// Catalog is the configuration that operators publish: the inventory and the rules.
type Catalog struct {
	Inventory Inventory `json:"inventory" yaml:"inventory"`
	Rules     Rules     `json:"rules" yaml:"rules"`
}

// Inventory is the part of the catalog that is exported from the operators' asset register.
type Inventory struct {
	Deployment string                   `json:"deployment" yaml:"deployment"`
	Zones      map[string]Zone          `json:"availability_zones" yaml:"availability_zones"`
	VMs        map[string]VM            `json:"vms" yaml:"vms"`
	Models     map[string]Model         `json:"models" yaml:"models"`
	Services   map[string]Service       `json:"services" yaml:"services"`
	Workspaces map[string]WorkspaceSpec `json:"workspaces" yaml:"workspaces"`
}

// Zone is an availability zone.
type Zone struct {
	Region string `json:"region" yaml:"region"`
}

// VM is the virtual machine of a backend server.
type VM struct {
	Zone         string `json:"availability_zone" yaml:"availability_zone"`
	Domain       string `json:"fabric_domain" yaml:"fabric_domain"`
	Address      string `json:"address" yaml:"address"`
	WorkerKind   string `json:"worker" yaml:"worker"`
	Service      string `json:"service,omitempty" yaml:"service,omitempty"`
	Accelerators int    `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
	ChecksFence  bool   `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
}

// Model is a model that replica groups serve; ColdLimit and WarmLimit are limits of concurrent requests.
type Model struct {
	Version           string   `json:"version" yaml:"version"`
	Adapters          []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Replicas          int      `json:"replicas" yaml:"replicas"`
	VMsPerReplica     int      `json:"vms_per_replica" yaml:"vms_per_replica"`
	AcceleratorsPerVM int      `json:"accelerators_per_vm" yaml:"accelerators_per_vm"`
	WeightsGigabytes  float64  `json:"weights_gigabytes" yaml:"weights_gigabytes"`
	ColdLimit         int      `json:"cold_limit" yaml:"cold_limit"`
	WarmLimit         int      `json:"warm_limit" yaml:"warm_limit"`
}

// Service is a plain service that runs beside the model engines; Idempotent lists the methods that are safe to repeat.
type Service struct {
	Idempotent []string `json:"idempotent_methods" yaml:"idempotent_methods"`
	ColdLimit  int      `json:"cold_limit" yaml:"cold_limit"`
	WarmLimit  int      `json:"warm_limit" yaml:"warm_limit"`
}

// WorkspaceSpec lists the models and services that a workspace may use.
type WorkspaceSpec struct {
	Models   []string `json:"models" yaml:"models"`
	Services []string `json:"services" yaml:"services"`
}
