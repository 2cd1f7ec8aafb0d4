//go:build soak

package prover

import (
	"net/http"

	. "github.com/onsi/gomega"
)

// engineCounts holds the counters of one engine VM.
type engineCounts struct {
	Started                 int            `json:"started"`
	Completed               int            `json:"completed"`
	Broken                  int            `json:"broken"`
	Refused                 map[string]int `json:"refused"`
	FellOver                int            `json:"fell_over"`
	ServedWithMemberMissing int            `json:"served_with_member_missing"`
	AcceptedAtMS            int64          `json:"accepted_at_ms"`
}

// serviceCounts holds the counters of the plain service.
type serviceCounts struct {
	Runs map[string]int `json:"runs"`
	VMs  map[string]struct {
		FellOver     int   `json:"fell_over"`
		AcceptedAtMS int64 `json:"accepted_at_ms"`
	} `json:"vms"`
}

func (dep *deployment) fetchEngineCounts() map[string]engineCounts {
	out := map[string]engineCounts{}
	for num := range domainCount {
		ans, err := fetch[struct {
			VMs map[string]engineCounts `json:"vms"`
		}](dep.cli, domainControl(num), "/v1/counts")
		Expect(err).NotTo(HaveOccurred())
		for vm, cnt := range ans.VMs {
			out[vm] = cnt
		}
	}
	return out
}

func (dep *deployment) fetchServiceCounts() serviceCounts {
	ans, err := fetch[serviceCounts](dep.cli, serviceControl, "/v1/counts")
	Expect(err).NotTo(HaveOccurred())
	return ans
}

// lastAcceptedAt returns when each VM last accepted work, in Unix milliseconds.
func (dep *deployment) lastAcceptedAt() map[string]int64 {
	out := map[string]int64{}
	for vm, cnt := range dep.fetchEngineCounts() {
		out[vm] = cnt.AcceptedAtMS
	}
	for vm, cnt := range dep.fetchServiceCounts().VMs {
		out[vm] = cnt.AcceptedAtMS
	}
	return out
}

// expectNoPartialGroup checks that no group served with a member missing.
func (dep *deployment) expectNoPartialGroup() {
	started := 0
	for vm, cnt := range dep.fetchEngineCounts() {
		started += cnt.Started
		Expect(cnt.ServedWithMemberMissing).To(BeZero(), "%s served with a member missing", vm)
	}
	Expect(started).NotTo(BeZero())
}

// expectNoOverload checks that no backend server restarted because it got more requests than it can bear while cold.
func (dep *deployment) expectNoOverload() {
	for vm, cnt := range dep.fetchEngineCounts() {
		Expect(cnt.FellOver).To(BeZero(), "%s was overloaded while cold", vm)
	}
	for vm, cnt := range dep.fetchServiceCounts().VMs {
		Expect(cnt.FellOver).To(BeZero(), "%s was overloaded while cold", vm)
	}
}

func healthy(cli *http.Client, address string) bool {
	res, err := cli.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
