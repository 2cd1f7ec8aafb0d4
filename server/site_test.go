package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/configurer"
	"github.com/lovagelever/lovagelever/enginefaker"
	"github.com/lovagelever/lovagelever/logfaker"
	"github.com/lovagelever/lovagelever/requester"
	"github.com/lovagelever/lovagelever/servicefaker"
	"github.com/lovagelever/lovagelever/vmlistfaker"
	"github.com/lovagelever/lovagelever/weightstorefaker"
)

// testSite runs one entry, the platform services and the backend servers in this process.
type testSite struct {
	srv  *Server
	base string
	stop func()
}

// freeAddress returns an address on a loopback IP of this process alone: on 127.0.0.1, another process or
// an outgoing connection could be given the port before it is listened at again.
func freeAddress() string {
	pid := os.Getpid()
	lis, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 128+pid>>16&63, pid>>8&255, pid&255))
	Expect(err).NotTo(HaveOccurred())
	defer lis.Close()
	return lis.Addr().String()
}

func newTestSite(inv cataloger.Inventory) *testSite {
	platform := []*httptest.Server{
		httptest.NewServer(logfaker.New(logfaker.Options{Clock: clockwork.NewRealClock(), RetainRecords: 1000, RetainFor: time.Hour}).Handler()),
		httptest.NewServer(vmlistfaker.New(vmlistfaker.Options{Clock: clockwork.NewRealClock()}).Handler()),
		httptest.NewServer(weightstorefaker.New(weightstorefaker.Options{Clock: clockwork.NewRealClock(), GigabytesPerSecond: 1000}).Handler()),
	}
	engines := enginefaker.New(enginefaker.Options{
		Clock: clockwork.NewRealClock(), Inventory: inv, Domain: "fabric", ControlAddress: freeAddress(),
		WeightStore: address(platform[2]), WarmAfter: time.Millisecond, ColdLimit: 2, StepBase: time.Millisecond, CrashMarker: "crash-the-engine",
	})
	Expect(engines.Start()).To(Succeed())
	services := servicefaker.New(servicefaker.Options{
		Clock: clockwork.NewRealClock(), Inventory: inv, Service: "venue-api", ControlAddress: freeAddress(), WarmAfter: time.Millisecond, ColdLimit: 2, WarmLimit: 8,
	})
	Expect(services.Start()).To(Succeed())
	set := configurer.Settings{
		Name: "entry-1", Zone: "east", Region: "here", Address: freeAddress(), RPCAddress: freeAddress(),
		LogAddress: address(platform[0]), VMListAddress: address(platform[1]), WeightStoreAddress: address(platform[2]),
		LogLevel: "error", ProbeInterval: 100 * time.Millisecond, FreshFor: 3 * time.Second, SuspectAfter: 3 * time.Second,
		LocateValidFor: 10 * time.Millisecond, RequestTimeout: 20 * time.Second, QueueTimeout: 10 * time.Second,
		StopTimeout: 20 * time.Second, SnapshotEveryRecords: 1000, SnapshotWithin: time.Hour, MaxBodyBytes: 4096, OutcomeWindow: 5 * time.Minute,
	}
	set.AdvertiseAddress, set.AdvertiseRPCAddress = set.Address, set.RPCAddress
	srv, err := New(set)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(srv.Run(ctx)).To(Succeed())
	}()
	sit := &testSite{srv: srv, base: "http://" + set.Address}
	sit.stop = func() {
		cancel()
		<-done
		engines.Close()
		services.Close()
		for _, one := range platform {
			one.CloseClientConnections()
			one.Close()
		}
	}
	return sit
}

func address(srv *httptest.Server) string {
	return strings.TrimPrefix(srv.URL, "http://")
}

func siteInventory() cataloger.Inventory {
	return cataloger.Inventory{
		Deployment: "site",
		Zones:      map[string]cataloger.Zone{"east": {Region: "here"}},
		VMs: map[string]cataloger.VM{
			"engine-1": {Zone: "east", Domain: "fabric", Address: freeAddress(), WorkerKind: cataloger.WorkerEngine, Accelerators: 4, ChecksFence: true},
			"engine-2": {Zone: "east", Domain: "fabric", Address: freeAddress(), WorkerKind: cataloger.WorkerEngine, Accelerators: 4},
			"desk-1":   {Zone: "east", Address: freeAddress(), WorkerKind: cataloger.WorkerService, Service: "venue-api"},
		},
		Models:     map[string]cataloger.Model{"scene-composer": {Version: "1", Replicas: 1, VMsPerReplica: 2, AcceleratorsPerVM: 4, WeightsGigabytes: 1, ColdLimit: 2, WarmLimit: 8}},
		Services:   map[string]cataloger.Service{"venue-api": {Idempotent: []string{"GET"}, ColdLimit: 2, WarmLimit: 8}},
		Workspaces: map[string]cataloger.WorkspaceSpec{"wedding-halls": {Models: []string{"scene-composer"}, Services: []string{"venue-api"}}, "other": {}},
	}
}

// reply is an HTTP response with its whole body.
type reply struct {
	status int
	header http.Header
	body   string
}

func (rep reply) refusal() requester.Refusal {
	var ans struct {
		Error requester.Refusal `json:"error"`
	}
	Expect(json.Unmarshal([]byte(rep.body), &ans)).To(Succeed(), rep.body)
	return ans.Error
}

func (sit *testSite) send(method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, sit.base+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	for num := 0; num+1 < len(headers); num += 2 {
		req.Header.Set(headers[num], headers[num+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return reply{status: res.StatusCode, header: res.Header, body: string(data)}
}

func (sit *testSite) publish(basedOn int64, inv cataloger.Inventory) reply {
	id, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	body, err := json.Marshal(requester.Publication{ID: id.String(), BasedOn: basedOn, Inventory: &inv})
	Expect(err).NotTo(HaveOccurred())
	return sit.send(http.MethodPost, "/v1/publications", string(body))
}

func (sit *testSite) awaitServing(inv cataloger.Inventory) {
	Eventually(func() int { return sit.send(http.MethodGet, "/healthz", "").status }).Should(Equal(http.StatusOK))
	Expect(sit.publish(0, inv).status).To(Equal(http.StatusOK))
	Eventually(func() bool {
		var sta requester.Status
		Expect(json.Unmarshal([]byte(sit.send(http.MethodGet, "/v1/status", "").body), &sta)).To(Succeed())
		return len(sta.Models) == 1 && sta.Models[0].Serving == 1
	}).Should(BeTrue())
	Eventually(func() int {
		return sit.send(http.MethodGet, "/v1/services/venue-api/ready", "", "X-Workspace", "wedding-halls").status
	}).Should(Equal(http.StatusOK))
}
