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

// View is an immutable picture of the state for readers; its maps must not be changed.
type View struct {
	Offset    int64
	Chain     uint64
	Revision  int64
	Catalog   cataloger.Catalog
	Members   map[string]Member
	Departed  map[string]Departed
	Groups    map[string]Group
	Owners    map[string]string
	Condemned map[string]Condemned
	Homes     map[string]Home
	Watchers  map[string]Member
	Control   map[string]Member
	Snapshots Member
	Covered   int64
	Voids     []Void
	Counts    map[string]int64
}

// View copies what readers need; Homes is by unit, Watchers by fabric domain, Control by region, and Covered is the offset of the newest snapshot.
func (sta *State) View() *View {
	if sta.last == nil {
		sta.last = sta.picture()
	}
	vie := *sta.last
	vie.Offset = sta.Offset
	vie.Chain = sta.Chain
	vie.Covered = sta.SnapshotAt
	vie.Voids = append([]Void{}, sta.Voids...)
	vie.Counts = maps.Clone(sta.Counts)
	return &vie
}

func (sta *State) picture() *View {
	return &View{
		Revision:  sta.Revision,
		Catalog:   sta.Catalog,
		Members:   maps.Clone(sta.Members),
		Departed:  maps.Clone(sta.Departed),
		Groups:    maps.Clone(sta.Groups),
		Owners:    maps.Clone(sta.Owners),
		Condemned: maps.Clone(sta.Condemned),
		Homes:     sta.Homes,
		Watchers:  sta.duties.watchers,
		Control:   sta.duties.control,
		Snapshots: sta.duties.snapshot,
	}
}

// Encode writes the state as a snapshot.
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

// DecodeState reads a snapshot back; it fails with errors.NotValid when the snapshot is damaged.
func DecodeState(sna recorder.Snapshot) (*State, error) {
	zip, err := gzip.NewReader(bytes.NewReader(sna.State))
	if err != nil {
		return nil, errors.NewNotValid(err, "reducer: snapshot")
	}
	data, err := io.ReadAll(zip)
	if err != nil {
		return nil, errors.NewNotValid(err, "reducer: snapshot")
	}
	if xxhash.Sum64(data) != sna.Checksum {
		return nil, errors.NotValidf("reducer: checksum of snapshot")
	}
	sta := NewState()
	if err := json.Unmarshal(data, sta); err != nil {
		return nil, errors.NewNotValid(err, "reducer: snapshot")
	}
	if sta.Offset != sna.Covers {
		return nil, errors.NotValidf("reducer: snapshot that covers %d, with a state at %d,", sna.Covers, sta.Offset)
	}
	sta.Restore()
	return sta, nil
}

// HomeOf returns the live member that is home of a unit.
func (vie *View) HomeOf(unit string) (Member, bool) {
	mem, live := vie.Members[vie.Homes[unit].Incarnation]
	return mem, live
}
