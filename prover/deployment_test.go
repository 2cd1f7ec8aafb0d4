//go:build soak

package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/requester"
)

const (
	entryCount         = 7
	logAddress         = "127.30.9.1:7000"
	vmListAddress      = "127.30.9.2:7000"
	weightStoreAddress = "127.30.9.3:7000"
	serviceControl     = "127.30.8.100:7000"
	vmListDelay        = 500 * time.Millisecond
	startTimeout       = 20 * time.Second
	serveTimeout       = 60 * time.Second
	stopTimeout        = 30 * time.Second
)

// options configures a deployment; the zero value selects the defaults.
type options struct {
	retainRecords int
	settings      string
	serviceWork   time.Duration
}

// deployment is a running set of entries and of the stand-ins for the log, the VM list, the weight store, the engines and the service.
type deployment struct {
	opt options
	dir string
	cat cataloger.Catalog
	ntw *network
	cli *http.Client

	mtx            sync.Mutex
	procs          map[string]*process
	blockedSources map[string]map[string]bool
	faultSpans     map[int][]span
}

// span is a period during which a fault was injected into an entry; its end is zero while the fault lasts.
type span struct {
	begun, ended time.Time
}

func entryIP(num int) string { return fmt.Sprintf("127.30.0.%d", num) }

func entryAddress(num int) string { return entryIP(num) + ":8000" }

func entryName(num int) string { return fmt.Sprintf("entry-%d", num) }

func entryNumber(name string) int {
	var num int
	_, _ = fmt.Sscanf(name, "entry-%d", &num)
	return num
}

func linkAddress(num int) string { return fmt.Sprintf("127.30.10.%d:8001", num) }

func domainControl(num int) string { return fmt.Sprintf("127.30.8.%d:7000", num+1) }

// newDeployment starts all processes, publishes the catalog and waits until all groups serve. Test cleanup stops the processes.
func newDeployment(opt options) *deployment {
	dir, err := filepath.Abs(filepath.Join("..", "run", "prover", strings.ReplaceAll(CurrentSpecReport().LeafNodeText, " ", "_")))
	Expect(err).NotTo(HaveOccurred())
	Expect(os.RemoveAll(dir)).To(Succeed())
	Expect(os.MkdirAll(dir, 0o755)).To(Succeed())
	dep := &deployment{
		opt: opt, dir: dir, cat: newCatalog(), ntw: newNetwork(), cli: &http.Client{Timeout: 5 * time.Second},
		procs: map[string]*process{}, blockedSources: map[string]map[string]bool{}, faultSpans: map[int][]span{},
	}
	DeferCleanup(dep.close)
	dep.startStandins()
	for num := 1; num <= entryCount; num++ {
		dep.ntw.forward(linkAddress(num), entryIP(num), "8001")
		dep.startEntry(num)
	}
	for num := 1; num <= entryCount; num++ {
		dep.awaitAnswer(entryAddress(num), "/healthz")
	}
	Eventually(func() error {
		_, err := dep.publish(1, 0, &dep.cat.Inventory, &dep.cat.Rules)
		return err
	}, startTimeout, time.Second).Should(Succeed())
	dep.awaitServing()
	return dep
}

func (dep *deployment) startStandins() {
	data, err := yaml.Marshal(map[string]cataloger.Inventory{"inventory": dep.cat.Inventory})
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(dep.dir, "inventory.yaml")
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	dep.start("log", "standin", "log", "--listen", logAddress, "--retain-records", fmt.Sprint(dep.opt.retainRecords))
	dep.start("vm_list", "standin", "vm_list", "--listen", vmListAddress, "--inventory", file, "--lag", vmListDelay.String())
	dep.start("weight_store", "standin", "weight_store", "--listen", weightStoreAddress, "--gigabytes-per-second", "40")
	for num := range domainCount {
		dep.start(domainOf(num), "standin", "engine", "--inventory", file, "--domain", domainOf(num), "--weight-store", weightStoreAddress,
			"--control", domainControl(num), "--seed", fmt.Sprint(num), "--cold-limit", fmt.Sprint(coldLimit), "--warm-after", "3s")
	}
	work := max(dep.opt.serviceWork, 5*time.Millisecond)
	dep.start(service, "standin", "service", "--inventory", file, "--service", service, "--control", serviceControl, "--work", work.String(), "--warm-after", "3s")
	dep.awaitAnswer(logAddress, "/v1/records?from=1&limit=1&wait_ms=0")
	dep.awaitAnswer(vmListAddress, "/v1/vms")
	dep.awaitAnswer(weightStoreAddress, "/v1/leases")
	dep.awaitAnswer(serviceControl, "/v1/counts")
	for num := range domainCount {
		dep.awaitAnswer(domainControl(num), "/v1/counts")
	}
}

func (dep *deployment) start(name, program string, args ...string) {
	pro := startProcess(dep.dir, name, program, args...)
	dep.mtx.Lock()
	dep.procs[name] = pro
	dep.mtx.Unlock()
}

func (dep *deployment) entry(num int) *process {
	dep.mtx.Lock()
	defer dep.mtx.Unlock()
	return dep.procs[entryName(num)]
}

// startEntry starts an entry process without state from an earlier one.
func (dep *deployment) startEntry(num int) {
	var peers []string
	for oth := 1; oth <= entryCount; oth++ {
		if oth != num {
			peers = append(peers, linkAddress(oth))
		}
	}
	lines := []string{
		"name: " + entryName(num),
		"availability_zone: " + zoneOf(num),
		"region: " + region,
		"address: " + entryAddress(num),
		"rpc_address: " + entryIP(num) + ":8001",
		"advertise_rpc_address: " + linkAddress(num),
		"log_address: " + logAddress,
		"vm_list_address: " + vmListAddress,
		"weight_store_address: " + weightStoreAddress,
		"peers: " + strings.Join(peers, ", "),
		"locate_valid_for: 2s",
		"request_timeout: 20s",
		"log_level: debug",
		dep.opt.settings,
	}
	file := filepath.Join(dep.dir, entryName(num)+".yaml")
	Expect(os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600)).To(Succeed())
	dep.start(entryName(num), "lovagelever", "entry", "--settings", file)
}

func (dep *deployment) awaitAnswer(address, path string) {
	Eventually(func() bool {
		res, err := dep.cli.Get("http://" + address + path)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return true
	}, startTimeout, 50*time.Millisecond).Should(BeTrue(), address)
}

// awaitServing waits until every entry reports that all groups serve.
func (dep *deployment) awaitServing() {
	Eventually(func() string {
		for num := 1; num <= entryCount; num++ {
			sta, err := dep.status(num)
			if err != nil {
				return err.Error()
			}
			for _, mod := range sta.Models {
				if mod.Serving < mod.Wanted {
					return fmt.Sprintf("%s: model %s: %d of %d groups serve: %s", sta.AnsweredBy, mod.Name, mod.Serving, mod.Wanted, mod.Reason)
				}
			}
			if len(sta.Models) < len(dep.cat.Inventory.Models) {
				return sta.AnsweredBy + ": models missing"
			}
		}
		return ""
	}, serveTimeout, 200*time.Millisecond).Should(BeEmpty())
}

func (dep *deployment) status(num int) (requester.Status, error) {
	return fetch[requester.Status](dep.cli, entryAddress(num), "/v1/status")
}

func (dep *deployment) publish(num int, basedOn int64, inv *cataloger.Inventory, rul *cataloger.Rules) (requester.PublicationResult, error) {
	req, err := requester.New([]string{entryAddress(num)})
	if err != nil {
		return requester.PublicationResult{}, err
	}
	pub := requester.Publication{ID: newUUID(), BasedOn: basedOn, Inventory: inv, Rules: rul}
	return req.Publish(context.Background(), entryAddress(num), pub)
}

func newUUID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// close kills every started process and closes the simulated network.
func (dep *deployment) close() {
	dep.mtx.Lock()
	procs := dep.procs
	dep.procs = map[string]*process{}
	dep.mtx.Unlock()
	for _, pro := range procs {
		pro.signal(syscall.SIGKILL)
	}
	for _, pro := range procs {
		Eventually(pro.done, exitTimeout).Should(BeClosed(), "exit of "+pro.name)
	}
	dep.ntw.close()
}

func fetch[T any](cli *http.Client, address, path string) (T, error) {
	var ans T
	res, err := cli.Get("http://" + address + path)
	if err != nil {
		return ans, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return ans, fmt.Errorf("%s%s returned status %d", address, path, res.StatusCode)
	}
	return ans, json.NewDecoder(res.Body).Decode(&ans)
}

// setFaults merges body into the active faults of a stand-in.
func (dep *deployment) setFaults(address string, body any) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	res, err := dep.cli.Post("http://"+address+"/v1/faults", "application/json", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	Expect(res.StatusCode).To(Equal(http.StatusOK), string(data))
}
