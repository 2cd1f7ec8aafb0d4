package reducer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
)

// View is an immutable copy of the state for readers; its maps must not be changed.
// GroupByVM maps VMs to groups, Homes is by unit, Watchers by fabric domain, Controllers by region,
// Snapshotter is the member that appends snapshots, and SnapshotOffset is the offset of the newest snapshot record.
type View struct {
	Offset          int64
	ChainHash       uint64
	Revision        int64
	Catalog         cataloger.Catalog
	Members         map[string]Member
	Departed        map[string]Departed
	Groups          map[string]Group
	GroupByVM       map[string]string
	Condemned       map[string]Condemned
	Homes           map[string]Home
	Watchers        map[string]Member
	Controllers     map[string]Member
	Snapshotter     Member
	SnapshotOffset  int64
	RejectedRecords []RejectedRecord
	Counts          map[string]int64
}

// View returns a copy of the state for readers; parts that did not change are shared with earlier views.
func (sta *State) View() *View {
	if sta.cachedView == nil {
		sta.cachedView = sta.newView()
	}
	vie := *sta.cachedView
	vie.Offset = sta.Offset
	vie.ChainHash = sta.ChainHash
	vie.SnapshotOffset = sta.SnapshotOffset
	vie.RejectedRecords = append([]RejectedRecord{}, sta.RejectedRecords...)
	vie.Counts = maps.Clone(sta.Counts)
	return &vie
}

func (sta *State) newView() *View {
	return &View{
		Revision:    sta.Revision,
		Catalog:     sta.Catalog,
		Members:     maps.Clone(sta.Members),
		Departed:    maps.Clone(sta.Departed),
		Groups:      maps.Clone(sta.Groups),
		GroupByVM:   maps.Clone(sta.GroupByVM),
		Condemned:   maps.Clone(sta.Condemned),
		Homes:       sta.Homes,
		Watchers:    sta.duties.watchers,
		Controllers: sta.duties.controllers,
		Snapshotter: sta.duties.snapshotter,
	}
}

// Encode returns the state as a snapshot: gzip-compressed JSON with a checksum.
func (sta *State) Encode() (recorder.Snapshot, error) {
	data, err := json.Marshal(sta)
	if err != nil {
		return recorder.Snapshot{}, errors.Annotate(err, "reducer: encode state")
	}
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if _, err := zip.Write(data); err != nil {
		return recorder.Snapshot{}, errors.Annotate(err, "reducer: compress state")
	}
	if err := zip.Close(); err != nil {
		return recorder.Snapshot{}, errors.Annotate(err, "reducer: compress state")
	}
	return recorder.Snapshot{Covers: sta.Offset, State: buf.Bytes(), Checksum: xxhash.Sum64(data)}, nil
}

// DecodeState decodes a snapshot; it returns errors.NotValid if the snapshot is corrupt.
func DecodeState(sna recorder.Snapshot) (*State, error) {
	zip, err := gzip.NewReader(bytes.NewReader(sna.State))
	if err != nil {
		return nil, errors.NewNotValid(err, "reducer: decompress snapshot")
	}
	data, err := io.ReadAll(zip)
	if err != nil {
		return nil, errors.NewNotValid(err, "reducer: decompress snapshot")
	}
	if xxhash.Sum64(data) != sna.Checksum {
		return nil, errors.NotValidf("reducer: checksum of snapshot")
	}
	sta := NewState()
	if err := json.Unmarshal(data, sta); err != nil {
		return nil, errors.NewNotValid(err, "reducer: decode snapshot")
	}
	if sta.Offset != sna.Covers {
		return nil, errors.NotValidf("reducer: snapshot of offset %d that holds the state at offset %d", sna.Covers, sta.Offset)
	}
	sta.Restore()
	return sta, nil
}

// HomeOf returns the member that is the home of a unit, or false if that incarnation is no longer a member.
func (vie *View) HomeOf(unit string) (Member, bool) {
	mem, live := vie.Members[vie.Homes[unit].Incarnation]
	return mem, live
}
