package claimer

import (
	"strings"
	"testing"

	"github.com/juju/errors"
)

func FuzzParseKey(f *testing.F) {
	for _, text := range []string{
		"", "/", "e1.i1.0/a", "e.1.i1.12/a-b_C", "e1.i1.01/a", "e1.i1.-1/a", "e1.i1.0/", "e1.i1.0/a/b", ".i1.0/a", "e1..0/a",
		"01890a5d-ac96-774b-bcce-b302099a8057", "01890A5D-AC96-774B-BCCE-B302099A8057", "{01890a5d-ac96-774b-bcce-b302099a8057}",
		"01890a5d-ac96-474b-bcce-b302099a8057", "01890a5d-ac96-774b-1cce-b302099a8057", strings.Repeat("a", 400),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		var ref *Refusal
		if err != nil {
			if !errors.As(err, &ref) || ref.Kind != KindInvalid {
				t.Fatalf("%v", err)
			}
			return
		}
		if !strings.EqualFold(key.Text, text) || !key.ClientGenerated && key.Text != text {
			t.Fatalf("%q became %q", text, key.Text)
		}
		again, err := ParseKey(key.Text)
		if err != nil || again != key {
			t.Fatalf("%+v became %+v, %v", key, again, err)
		}
	})
}
