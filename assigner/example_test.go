package assigner_test

import (
	"fmt"

	"github.com/lovagelever/lovagelever/assigner"
)

// A duty moves only when the entry that holds it is removed.
func ExamplePool() {
	all := []assigner.Candidate{
		{Name: "entry-1", Zone: "ipoh", Region: "malaysia"},
		{Name: "entry-2", Zone: "gemas", Region: "malaysia"},
		{Name: "entry-3", Zone: "gemas", Region: "malaysia"},
	}
	home, _ := assigner.NewPool(all).Pick("home/group-1", "gemas", "malaysia")
	same, _ := assigner.NewPool(all[1:]).Pick("home/group-1", "gemas", "malaysia")
	fmt.Println(home.Zone, home == same)
	// Output: gemas true
}
