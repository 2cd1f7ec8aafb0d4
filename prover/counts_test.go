//go:build soak

package prover

import (
	"net/http"

	. "github.com/onsi/gomega"
)

// engineCounts are the counts of one engine VM.
type engineCounts struct {
	Started                 int            `json:"started"`
	Completed               int            `json:"completed"`
	Broken                  int            `json:"broken"`
	Refused                 map[string]int `json:"refused"`
	FellOver                int            `json:"fell_over"`
	ServedWithMemberMissing int            `json:"served_with_member_missing"`
	AcceptedAtMS            int64          `json:"accepted_at_ms"`
}

// serviceCounts are the counts of the plain service.
type serviceCounts struct {
	Runs map[string]int `json:"runs"`
	VMs  map[string]struct {
		FellOver     int   `json:"fell_over"`
		AcceptedAtMS int64 `json:"accepted_at_ms"`
	} `json:"vms"`
}

func (dep *deployment) engines() map[string]engineCounts {
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

func (dep *deployment) services() serviceCounts {
	ans, err := fetch[serviceCounts](dep.cli, serviceControl, "/v1/counts")
	Expect(err).NotTo(HaveOccurred())
	return ans
}

// acceptedAt is when each VM last took work, in Unix milliseconds.
func (dep *deployment) acceptedAt() map[string]int64 {
	out := map[string]int64{}
	for vm, cnt := range dep.engines() {
		out[vm] = cnt.AcceptedAtMS
	}
	for vm, cnt := range dep.services().VMs {
		out[vm] = cnt.AcceptedAtMS
	}
	return out
}

// expectComplete checks that no group served with a member missing.
func (dep *deployment) expectComplete() {
	started := 0
	for vm, cnt := range dep.engines() {
		started += cnt.Started
		Expect(cnt.ServedWithMemberMissing).To(BeZero(), "%s served with a member missing", vm)
	}
	Expect(started).NotTo(BeZero())
}

// expectStanding checks that no backend server fell over.
func (dep *deployment) expectStanding() {
	for vm, cnt := range dep.engines() {
		Expect(cnt.FellOver).To(BeZero(), "%s fell over", vm)
	}
	for vm, cnt := range dep.services().VMs {
		Expect(cnt.FellOver).To(BeZero(), "%s fell over", vm)
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
