package gateserver

import (
	"context"
	"net/netip"
	"net/rpc"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/compressor"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/nominator"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/tailer"
)

// ErrNoPeer means that no heartbeat of another entry arrived recently.
const ErrNoPeer = errors.ConstError("no recent heartbeat of another entry")

// peers returns the entries that receive heartbeats.
func (gat *Server) peers() []heartbeater.Peer {
	var out []heartbeater.Peer
	for _, ent := range gat.adv.Others() {
		if adr, err := netip.ParseAddrPort(ent.EntryAddress); err == nil {
			out = append(out, heartbeater.Peer{Name: ent.Name, Address: adr})
		}
	}
	gat.peerCount.Store(int64(len(out)))
	return out
}

// heartbeat returns the heartbeat for one of the entries that collect loads and decide on groups, or a shorter one for the others.
func (gat *Server) heartbeat(whole bool) heartbeater.Heartbeat {
	bea := heartbeater.Heartbeat{
		Name: gat.set.Name, Incarnation: gat.self.Incarnation, Seq: gat.heartbeatSeq.Add(1),
		Stopping: gat.stopping.Load(), Running: map[uint64]estimator.Work{}, Alive: map[uint64]bool{},
		ExchangesWork: true, Demand: gat.ownDemand(), Uses: gat.sha.Own(),
	}
	gat.stm.Stamp(bea.Seq)
	alive := gat.det.ActiveUnits()
	bea.Fresh = gat.upToDate() && gat.nom.Reads()
	bea.Leads = gat.ele.IsLeader()
	for _, service := range gat.lin.Silent() {
		bea.Silent = append(bea.Silent, hash(service))
	}
	var eras []int64
	for _, topic := range gat.heartbeatTopics() {
		era, end := gat.tailers[topic].End()
		bea.TopicEnds, eras = append(bea.TopicEnds, end), append(eras, era)
	}
	// Entries of earlier versions read the ends only.
	bea.TopicEnds = append(bea.TopicEnds, eras...)
	for unit, wor := range gat.dis.Running() {
		bea.Running[hash(unit)] = wor
		bea.Alive[hash(unit)] = alive[unit]
	}
	suspects, recent := gat.det.Suspected(recentSuspicion)
	if !whole && len(gat.collectors()) > 0 {
		suspects = recent
	}
	for _, ins := range suspects {
		bea.Suspects = append(bea.Suspects, instanceHash(ins))
	}
	return bea
}

// heartbeatTopics returns the topics whose end offsets are sent in heartbeats, in that order.
func (gat *Server) heartbeatTopics() []string {
	return []string{gat.pla.Topics.Operator, gat.pla.Topics.Servers, gat.pla.Topics.Entries}
}

// upToDate reports whether this entry reads the store and has recent state of all topics.
func (gat *Server) upToDate() bool {
	for _, tai := range gat.tailers {
		if age, known := tai.Age(); !known || age > maxStoreAge {
			return false
		}
	}
	return true
}

// maxStoreAge is the maximum age of the last response of the store; a reader gets one every 0.8 s, and another entry must take over well within the 2 s that changes may take.
const maxStoreAge = 1100 * time.Millisecond

// notePeerState records whether another entry is up to date with the store, and the offsets that it knows.
func (gat *Server) notePeerState(bea heartbeater.Heartbeat) {
	if bea.Fresh && !bea.Stopping && gat.knowsEra(bea) {
		gat.upToDatePeers.Store(bea.Name, gat.clk.Now())
	} else {
		gat.upToDatePeers.Delete(bea.Name)
	}
	if bea.Leads {
		gat.otherLeader.Store(&leaderState{name: bea.Name, at: gat.clk.Now()})
	}
	list := gat.heartbeatTopics()
	for num, topic := range list {
		if num >= len(bea.TopicEnds) {
			break
		}
		era := int64(0)
		if pos := len(list) + num; pos < len(bea.TopicEnds) {
			era = bea.TopicEnds[pos]
		}
		if gat.tailers[topic].IsBehind(era, bea.TopicEnds[num]) {
			gat.newsFrom.Store(topic, bea.Name)
			gat.tailers[topic].NotifyEnd(era, bea.TopicEnds[num])
		}
	}
}

// knowsEra reports whether an entry states the eras of the topics, or there has been only one. An entry of an earlier version does not, and what it knows cannot be told from what the store has lost.
func (gat *Server) knowsEra(bea heartbeater.Heartbeat) bool {
	era, _ := gat.tailers[gat.pla.Topics.Operator].End()
	return era == 0 || len(bea.TopicEnds) >= 2*len(gat.heartbeatTopics())
}

// otherLeads reports whether another entry has said recently that it is the leader.
func (gat *Server) otherLeads() bool {
	return gat.otherLeaderName() != ""
}

// leaderState is which other entry has said that it is the leader, and when.
type leaderState struct {
	name string
	at   time.Time
}

// otherLeaderName returns the name of the other entry that is the leader, empty if none is known.
func (gat *Server) otherLeaderName() string {
	sta := gat.otherLeader.Load()
	if sta == nil || gat.clk.Since(sta.at) >= gat.readerStateTTL() {
		return ""
	}
	return sta.name
}

// readsStore reports whether this entry is one of those that read the store for all.
func (gat *Server) readsStore() bool {
	return gat.nom.Reads() || gat.ele != nil && gat.ele.IsLeader()
}

// candidates returns the entries that may read the store; only registered entries are counted, since others cannot be asked for records. At the start all registered ones count as live.
func (gat *Server) candidates() []nominator.Candidate {
	out := []nominator.Candidate{{Name: gat.set.Name, Zone: gat.set.Zone, Cores: gat.set.CPUCores, Last: len(gat.lin.Silent()) > 0}}
	starting := gat.clk.Since(gat.started) < startupGrace
	for _, ent := range gat.adv.Others() {
		if !starting && !gat.heardRecently(ent.Name) {
			continue
		}
		at, fresh := gat.upToDatePeers.Load(ent.Name)
		if fresh && !starting && !gat.hea.HeardWithin(ent.Name, gat.readerStateTTL()) {
			continue
		}
		reads := fresh && gat.clk.Since(at.(time.Time)) < gat.readerStateTTL()
		out = append(out, nominator.Candidate{Name: ent.Name, Zone: ent.Zone, Cores: ent.Cores, Reads: reads, Last: gat.pic.AnySilent(ent.Name)})
	}
	return out
}

// OthersRead reports whether enough other entries read the store, so that this one can ask them for records.
func (ask asker) OthersRead() bool {
	return !ask.gat.readsStore()
}

func (gat *Server) onHeartbeat(bea heartbeater.Heartbeat) {
	gat.pic.RecordSilent(bea.Name, bea.Silent)
	gat.notePeerState(bea)
	unitByHash := gat.units.Load().unitByHash
	running := map[string]estimator.Work{}
	nextWithin := gat.heartbeatInterval() + heartbeatSlack
	for key, wor := range bea.Running {
		gat.sawRequest.Store(true)
		unit, known := unitByHash[key]
		if !known {
			continue
		}
		running[unit] = wor
		if bea.Alive[key] {
			gat.det.RecordRemoteActivity(unit, nextWithin)
		}
	}
	gat.dis.SetRemoteLoad(bea.Name, running)
	gat.noteExchange(bea)
	if bea.Stopping {
		gat.adv.MarkStopping(bea.Name, bea.Incarnation)
	}
	if len(bea.Suspects) > 0 {
		gat.recordDoubts(bea.Suspects)
	}
}

// recordDoubts records the backend servers that do not answer another entry, and checks them from this entry too.
func (gat *Server) recordDoubts(doubts []uint64) {
	byHash := gat.units.Load().serverByHash
	var list []registrar.Instance
	for _, key := range doubts {
		if ser, known := byHash[key]; known {
			list = append(list, ser.Instance())
			gat.det.CheckServer(ser)
		}
	}
	gat.reg.AddRemoteSuspicions(list, gat.clk.Now().Add(min(gat.peerStateTTL(), recentSuspicion)))
}

const (
	// peerStateHeartbeats is for how many heartbeat intervals the state of another entry is valid: two heartbeats in a row are hardly ever lost.
	peerStateHeartbeats = 3
	// recentSuspicion is for how long a suspicion is in the heartbeats to all entries, in large clusters: by then those that need it have checked the server themselves.
	recentSuspicion = 2 * time.Second
	// startupGrace is how long an entry takes to hear from the others after its start.
	startupGrace = 3 * time.Second
	// minPeerStateTTL is the minimum validity of the state of another entry; entries that are paused for a moment send nothing.
	minPeerStateTTL = 500 * time.Millisecond
	// heartbeatSlack is how late a heartbeat may arrive and still count as the next one.
	heartbeatSlack = 50 * time.Millisecond
)

// peerStateTTL returns for how long the state of another entry is valid.
func (gat *Server) peerStateTTL() time.Duration {
	return max(minPeerStateTTL, peerStateHeartbeats*gat.heartbeatInterval())
}

// readerStateTTL returns for how long it is valid that another entry reads the store or leads. These entries send frequent heartbeats, so that at 200 entries a lost reader is noticed well within the 4 s that changes may take.
func (gat *Server) readerStateTTL() time.Duration {
	return max(minPeerStateTTL, peerStateHeartbeats*heartbeater.FrequentInterval(int(gat.peerCount.Load())))
}

// heartbeatInterval returns the interval between two heartbeats of another entry.
func (gat *Server) heartbeatInterval() time.Duration {
	return heartbeater.Interval(int(gat.peerCount.Load()))
}

// rank orders the entries to ask for records: 0 for an entry that is up to date with the store, 1 for others.
func (gat *Server) rank(name string) int {
	if _, fresh := gat.upToDatePeers.Load(name); fresh {
		return 0
	}
	return 1
}

func (gat *Server) onPeerSilent(name string) {
	gat.dis.SetRemoteLoad(name, nil)
	gat.onDemand(name, nil)
	gat.sha.SetRemote(name, nil)
	gat.workPeers.Delete(name)
	gat.upToDatePeers.Delete(name)
	gat.pic.RecordSilent(name, nil)
}

// Question requests the records of a topic, starting at an offset of an era of the store.
type Question struct {
	Topic string
	Era   int64
	From  int64
}

// Answer is the response to a Question.
type Answer struct {
	Era    int64
	End    int64
	Outage bool
	// Returned says that the store came back ReturnedAgo before from an outage in which leases may have expired.
	Returned    bool
	ReturnedAgo time.Duration
	Records     []AnswerRecord
	// Older holds what the store has instead of records that it has lost with an older copy.
	Older []AnswerRecord
}

// AnswerRecord is a record in the form in which it is sent; Compressed says that its value is compressed.
type AnswerRecord struct {
	tailer.Record
	Compressed bool
}

// receiver implements the RPC methods that other entries call.
type receiver struct {
	gat *Server
}

// Records returns the newest records of a topic that this entry knows; it fails with errors.NotFound for an unknown topic. Entries of earlier versions call it.
func (rec *receiver) Records(que *Question, ans *tailer.Page) error {
	tai, known := rec.gat.tailers[que.Topic]
	if !known {
		return errors.NotFoundf("gateserver: topic %s", que.Topic)
	}
	pag, err := tai.Since(que.Era, que.From)
	*ans = pag
	return err
}

// CompressedRecords returns the same as Records, with large values compressed.
func (rec *receiver) CompressedRecords(que *Question, ans *Answer) error {
	var pag tailer.Page
	if err := rec.Records(que, &pag); err != nil {
		return err
	}
	ans.Era, ans.End, ans.Outage = pag.Era, pag.End, pag.Outage
	ans.Returned, ans.ReturnedAgo = pag.Returned, pag.ReturnedAgo
	for _, one := range pag.Records {
		out := AnswerRecord{Record: one}
		if data, ok := rec.gat.com.Compress(que.Topic+"/"+one.Key, one.Value); ok {
			out.Value, out.Compressed = data, true
		}
		ans.Records = append(ans.Records, out)
	}
	for _, one := range pag.Older {
		ans.Older = append(ans.Older, AnswerRecord{Record: one})
	}
	return nil
}

// page returns the records of an answer with their values decompressed; it fails with errors.NotValid.
func (ans Answer) page() (tailer.Page, error) {
	out := tailer.Page{Era: ans.Era, End: ans.End, Outage: ans.Outage, Returned: ans.Returned, ReturnedAgo: ans.ReturnedAgo}
	for _, one := range ans.Records {
		rec := one.Record
		if one.Compressed {
			value, err := compressor.Decompress(one.Value)
			if err != nil {
				return tailer.Page{}, errors.Annotatef(err, "gateserver: record %s", one.Key)
			}
			rec.Value = value
		}
		out.Records = append(out.Records, rec)
	}
	for _, one := range ans.Older {
		out.Older = append(out.Older, one.Record)
	}
	return out, nil
}

// asker requests records from other entries.
type asker struct {
	gat *Server
}

// Ask requests records from the entry that last said that it knows newer ones, or else from a random entry that was heard recently, preferably one that reads the store; it fails with ErrNoPeer if there is none.
func (ask asker) Ask(ctx context.Context, topic string, era, from int64) (tailer.Page, error) {
	list := ask.gat.heardEntries()
	if len(list) == 0 {
		return tailer.Page{}, errors.Annotate(ErrNoPeer, "gateserver: request records")
	}
	source, _ := ask.gat.newsFrom.LoadAndDelete(topic)
	ent := list[max(0, slices.IndexFunc(list, func(ent advertiser.Entry) bool { return ent.Name == source }))]
	pag, err := ask.gat.requestRecords(ctx, ent.EntryAddress, Question{Topic: topic, Era: era, From: from})
	pag.Source = ent.Name
	return pag, errors.Annotatef(err, "gateserver: request records from %s", ent.Name)
}

// requestRecords requests records from the entry at an address. An entry of an earlier version knows only the method that does not compress them.
func (gat *Server) requestRecords(ctx context.Context, address string, que Question) (tailer.Page, error) {
	ans, err := messenger.Call[Question, Answer](ctx, gat.mes, address, "CompressedRecords", que)
	if _, remote := errors.AsType[rpc.ServerError](err); remote {
		return messenger.Call[Question, tailer.Page](ctx, gat.mes, address, "Records", que)
	}
	if err != nil {
		return tailer.Page{}, err
	}
	return ans.page()
}
