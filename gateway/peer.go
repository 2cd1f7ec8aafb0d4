package gateway

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/peerpicker"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/sender"
)

// Links says which services this entry reaches.
type Links interface {
	// Lost reports whether no backend server of a service answers this entry while another entry reaches the service.
	Lost(service string) bool
	// ConfirmLost finds that out after a backend server of the service has failed.
	ConfirmLost(service string) bool
}

// Peers selects the entry that serves a request for this one while the links to a service are lost.
type Peers interface {
	Pick(service string, exclude []string) (peerpicker.Peer, bool)
	// Usable reports whether an entry reaches a service, as far as known.
	Usable(service, name string) bool
	// Avoid leaves out an entry that did not take a request for a while.
	Avoid(name string)
}

// Headers between entries. Those of a request and of a response are removed before it is passed on.
const (
	// forwardedHeader holds the state of a request that another entry forwards.
	forwardedHeader = "Entry-Forwarded"
	// refusalHeader marks a response that the entry itself made, as opposed to one of a backend server.
	refusalHeader = "Entry-Refusal"
	// serverHeader names the backend server that made the response, as ID@START.
	serverHeader = "Entry-Server"
	// sentHeader of a refusal says whether the entry has sent the request to a backend server, which counts in the retry budget.
	sentHeader = "Entry-Sent"
	// versionHeader holds the version of the configuration by which the entry has handled the request.
	versionHeader = "Entry-Config-Version"
)

// Values of refusalHeader: the refusal is the answer to the caller, or only concerns this entry, and another one may serve the request; an outdated entry may serve others.
const (
	refusalFinal     = "final"
	refusalElsewhere = "elsewhere"
	refusalOutdated  = "outdated"
)

// peerPrefix precedes the name of an entry in the ID of a unit that stands for it.
const peerPrefix = "entry/"

// forwardState is what an entry knows of a request that it forwards to another one.
type forwardState struct {
	// age is how long ago the request arrived from the caller.
	age time.Duration
	// sends and runs count the backend servers that received the request, and those of them that may have run it.
	sends int
	runs  int
	// counted says that the request counts in the retry budget already.
	counted bool
	// version is the newest version of the configuration by which the entry's callers were served.
	version int64
}

func (sta forwardState) encode() string {
	val := url.Values{}
	val.Set("age_us", strconv.FormatInt(sta.age.Microseconds(), 10))
	val.Set("sends", strconv.Itoa(sta.sends))
	val.Set("runs", strconv.Itoa(sta.runs))
	val.Set("counted", strconv.FormatBool(sta.counted))
	val.Set("config_version", strconv.FormatInt(sta.version, 10))
	return val.Encode()
}

// parseForwardState parses the state of a request; a missing or malformed field yields zero.
func parseForwardState(text string) forwardState {
	val, err := url.ParseQuery(text)
	if err != nil {
		return forwardState{}
	}
	number := func(name string) int {
		num, err := strconv.Atoi(val.Get(name))
		if err != nil {
			return 0
		}
		return max(0, num)
	}
	return forwardState{
		age: time.Duration(number("age_us")) * time.Microsecond, sends: number("sends"), runs: number("runs"), counted: val.Get("counted") == "true",
		version: int64(number("config_version")),
	}
}

// Forwarded returns the handler for the requests that other entries forward. They are not forwarded again.
func (gat *Gateway) Forwarded() http.Handler {
	return http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		sta := parseForwardState(req.Header.Get(forwardedHeader))
		req.Header.Del(forwardedHeader)
		gat.opt.Meter.RecordFromEntry()
		gat.serve(wtr, req, &sta)
	})
}

// continueForwarded has the job go on where the entry that forwarded it has stopped.
func (job *job) continueForwarded(sta *forwardState) {
	job.forwarded, job.counted = sta, sta.counted
	job.arrived = job.arrived.Add(-sta.age)
	job.sends, job.mayHaveRun = sta.sends, sta.runs
	if job.cal.Timeout > 0 {
		job.cal.Timeout += sta.age
	}
}

// placeAtPeer places the request at another entry, unless it comes from one.
func (job *job) placeAtPeer(opt placeOptions) (*dispatcher.Placement, error) {
	if job.forwarded != nil {
		return nil, elsewhere("this entry reaches no backend server of "+job.ser.Name, retryAfterFailure)
	}
	var tried []string
	for _, unit := range opt.exclude {
		if name, found := strings.CutPrefix(unit, peerPrefix); found {
			tried = append(tried, name)
		}
	}
	pee, found := job.gat.opt.Peers.Pick(job.ser.Name, tried)
	if !found {
		return nil, refuser.NotRun("no entry is left that reaches a backend server of "+job.ser.Name, retryAfterFailure)
	}
	return dispatcher.NewPlacement(dispatcher.Unit{ID: peerPrefix + pee.Name, Entry: pee.Name, Address: pee.Address}), nil
}

// errElsewhere is the type of refusals for a reason that concerns only this entry.
const errElsewhere = errors.ConstError("another entry may serve the request")

// errOutdated is the type of refusals because the entry has an older configuration than the one that forwards the request.
const errOutdated = errors.ConstError("the configuration is outdated")

func elsewhere(message string, retryAfter time.Duration) error {
	return errors.WithType(refuser.NotRun(message, retryAfter), errElsewhere)
}

// handsBack reports whether a refusal gives the request back to the entry that has forwarded it, which knows whether it has run.
func (job *job) handsBack(cause error) bool {
	return job.forwarded != nil && errors.Is(cause, errElsewhere) && job.mayHaveRun == job.runsBefore()
}

// markRefusal marks a refusal for the entry that forwarded the request.
func (job *job) markRefusal(cause error, ref refuser.Refusal) {
	if job.forwarded == nil {
		return
	}
	job.markVersion(job.wtr.Header())
	mark := refusalFinal
	if ref.Type == refuser.TypeNotRun && job.handsBack(cause) {
		mark = refusalElsewhere
		if errors.Is(cause, errOutdated) {
			mark = refusalOutdated
		}
	}
	job.wtr.Header().Set(refusalHeader, mark)
	job.wtr.Header().Set(sentHeader, strconv.FormatBool(job.sends > job.forwarded.sends))
}

// markResponse names, for the entry that forwarded the request, the backend server that made the response.
func (job *job) markResponse(head http.Header, uni dispatcher.Unit) {
	if job.forwarded == nil {
		return
	}
	head.Del(refusalHeader)
	job.markVersion(head)
	head.Set(serverHeader, uni.ServerID+"@"+strconv.FormatInt(uni.Started, 10))
}

func (job *job) markVersion(head http.Header) {
	head.Set(versionHeader, strconv.FormatInt(job.configVersion(), 10))
}

// checkVersion fails if this entry has an older configuration than one by which the callers of the forwarding entry were served: for them it must not revert.
func (job *job) checkVersion() error {
	if job.forwarded == nil || job.tab.Version >= job.forwarded.version {
		return nil
	}
	return errors.WithType(elsewhere("this entry does not know the configuration yet", retryAfterFailure), errOutdated)
}

// parsePeerResponse classifies the response of another entry, and reports a backend server that leaves: this entry passes on what it says, too.
func (job *job) parsePeerResponse(pla *dispatcher.Placement, res *http.Response) ResponseInfo {
	ver := job.gat.opt.HeaderCodec.ParseResponse(job.cal, res)
	mark, server := res.Header.Get(refusalHeader), res.Header.Get(serverHeader)
	// Entries of earlier versions do not say whether they have sent the request.
	sent := res.Header.Get(sentHeader) != "false"
	job.gat.noteVersion(res.Header.Get(versionHeader))
	for _, name := range []string{refusalHeader, serverHeader, sentHeader, versionHeader} {
		res.Header.Del(name)
	}
	switch mark {
	case refusalElsewhere:
		job.gat.opt.Peers.Avoid(pla.Unit.Entry)
		return ResponseInfo{NotRun: true, Sent: sent}
	case refusalOutdated:
		return ResponseInfo{NotRun: true}
	}
	if ins, named := parseServer(server); named && ver.Leaving {
		job.gat.opt.OnLeaving(ins)
	}
	return ResponseInfo{Verified: ver.Verified, Final: ver.Verified || ver.NotRun || mark == refusalFinal, Refused: mark == refusalFinal}
}

// parseServer parses the ID and the start time of a backend server.
func parseServer(text string) (registrar.Instance, bool) {
	pos := strings.LastIndexByte(text, '@')
	if pos < 0 {
		return registrar.Instance{}, false
	}
	started, err := strconv.ParseInt(text[pos+1:], 10, 64)
	return registrar.Instance{ID: text[:pos], Started: started}, err == nil
}

// runsOf returns how many runs to count for an attempt at a unit that may have run the request. Another entry may have used all attempts that were left.
func (job *job) runsOf(uni dispatcher.Unit) int {
	return runsOf(uni, job.rou.Attempts-job.mayHaveRun)
}

func runsOf(uni dispatcher.Unit, left int) int {
	if uni.Entry == "" {
		return 1
	}
	return max(1, left)
}

// noteVersion records the version of the configuration by which another entry has served a caller of this one.
func (gat *Gateway) noteVersion(text string) {
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return
	}
	for old := gat.peerVersion.Load(); version > old; old = gat.peerVersion.Load() {
		if gat.peerVersion.CompareAndSwap(old, version) {
			gat.versionNotedAt.Store(gat.opt.Clock.Now().UnixNano())
			return
		}
	}
}

const (
	// versionWait is how long a request waits for a configuration by which callers of this entry were served.
	versionWait = 250 * time.Millisecond
	// versionPoll is the interval at which it looks for it.
	versionPoll = 10 * time.Millisecond
	// versionRetention is for how long such a configuration is waited for: the store may have lost it with an older copy.
	versionRetention = 5 * time.Second
)

// isOutdated reports whether another entry has lately served a caller of this one by a newer configuration than this entry knows.
func (gat *Gateway) isOutdated(tab *router.Table) bool {
	return tab.Version < gat.peerVersion.Load() && gat.opt.Clock.Now().UnixNano()-gat.versionNotedAt.Load() < int64(versionRetention)
}

// lookUpCurrent looks the request up in the configuration in force. What this entry decides itself must not be by an older one than its callers were served by at other entries; one that serves the request checks that itself.
func (job *job) lookUpCurrent() error {
	err := job.lookUp()
	if job.forwarded != nil || !job.gat.isOutdated(job.tab) || err == nil && job.linksLost() {
		return err
	}
	if err := job.awaitVersion(); err != nil {
		return err
	}
	return job.lookUp()
}

// awaitVersion waits for the configuration by which other entries have served callers of this one.
func (job *job) awaitVersion() error {
	job.gat.opt.OnOutdated()
	for until := job.arrived.Add(versionWait); job.gat.opt.Clock.Until(until) > 0; {
		select {
		case <-job.gat.opt.Clock.After(versionPoll):
		case <-job.req.Context().Done():
			return elsewhere("this entry does not know the configuration yet", retryAfterFailure)
		}
		if job.tab = job.gat.opt.Table(); !job.gat.isOutdated(job.tab) {
			return nil
		}
	}
	return elsewhere("this entry does not know the configuration yet", retryAfterFailure)
}

// linksLost reports whether this entry has lost its links to the service of the request.
func (job *job) linksLost() bool {
	return job.gat.opt.Links.Lost(job.ser.Name)
}

// noteNotSent has a unit checked that could not be reached.
func (job *job) noteNotSent(uni dispatcher.Unit, err error) {
	switch {
	case errors.Is(err, sender.ErrWithdrawn):
	case uni.Entry != "":
		job.gat.opt.Peers.Avoid(uni.Entry)
	default:
		job.gat.opt.Detector.CheckUnit(uni.ID)
	}
}

// faultOf returns the result of an attempt that a unit did not answer: no fault of the unit if the request was withdrawn or this entry reaches no unit.
func (job *job) faultOf(uni dispatcher.Unit, err error) dispatcher.Result {
	if uni.Entry != "" || errors.Is(err, sender.ErrWithdrawn) || job.gat.opt.Links.ConfirmLost(job.ser.Name) {
		return dispatcher.Neutral
	}
	return dispatcher.Fault
}

// noLinks are links that are never lost.
type noLinks struct{}

func (noLinks) Lost(string) bool        { return false }
func (noLinks) ConfirmLost(string) bool { return false }
