package reducer_test

import (
	"fmt"
	"time"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// If two operators publish changes based on the same revision, every reader of the log accepts the first and rejects the second.
func ExampleState_Apply() {
	sta := reducer.NewState()
	now := time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)
	zones := cataloger.Catalog{Inventory: cataloger.Inventory{Zones: map[string]cataloger.Zone{"ipoh": {Region: "malaysia"}}}}
	pub := recorder.Publication{BasedOn: 0, Change: cataloger.Diff(cataloger.Catalog{}, zones)}
	for offset := int64(1); offset <= 2; offset++ {
		rec, err := recorder.New(now, recorder.KindPublication, "", pub)
		if err != nil {
			fmt.Println(err)
			return
		}
		rea := sta.Apply(recorder.Entry{Offset: offset, At: now, Record: rec})
		fmt.Printf("offset %d: %q, revision %d\n", offset, rea, sta.Revision)
	}
	// Output:
	// offset 1: "", revision 1
	// offset 2: "conflict", revision 1
}
