package checker

import (
	"os"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/cataloger"
)

// File is the name and the content of one publication file.
type File struct {
	Name string
	Data []byte
}

// Publication is the content of the publication files; a part that is nil is left unchanged.
type Publication struct {
	Inventory *cataloger.Inventory `json:"inventory,omitempty" yaml:"inventory"`
	Rules     *cataloger.Rules     `json:"rules,omitempty" yaml:"rules"`
}

// Load reads publication files; it fails with the error of the first file that cannot be read.
func Load(names []string) ([]File, error) {
	files := make([]File, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Annotate(err, "checker: read publication file")
		}
		files = append(files, File{Name: name, Data: data})
	}
	return files, nil
}
