package configurer

import (
	"fmt"
	"os"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"github.com/lovagelever/lovagelever/yamlparser"
)

// Load reads the settings from a file; it fails with yamlparser.Problems that list every problem.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Annotate(err, "configurer: read settings")
	}
	return Parse(file, data)
}

// Parse reads settings from YAML; it fails with yamlparser.Problems that list every problem.
func Parse(file string, data []byte) (Settings, error) {
	root, err := yamlparser.Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	rea := reader{file: file, start: root.Line, lines: map[string]int{}}
	rea.readAll(root)
	rea.fillDefaults()
	rea.checkCombinations()
	if len(rea.problems) > 0 {
		rea.problems.Sort()
		return Settings{}, rea.problems
	}
	return rea.set, nil
}

// reader collects the settings of one file, the line of each key and the problems found.
type reader struct {
	file     string
	start    int
	set      Settings
	lines    map[string]int
	problems yamlparser.Problems
}

func (rea *reader) readAll(root *yaml.Node) {
	known := map[string]option{}
	for _, opt := range options() {
		known[opt.name] = opt
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		rea.readOne(known, root.Content[i], root.Content[i+1])
	}
}

func (rea *reader) readOne(known map[string]option, key, val *yaml.Node) {
	opt, found := known[key.Value]
	if !found {
		rea.report(key.Line, key.Value, "unknown key")
		return
	}
	if line, again := rea.lines[opt.name]; again {
		rea.report(key.Line, opt.name, fmt.Sprintf("given before at line %d", line))
		return
	}
	rea.lines[opt.name] = key.Line
	if val.Kind != yaml.ScalarNode || val.Tag == "!!null" {
		rea.report(key.Line, opt.name, "must have one plain value")
		return
	}
	if err := opt.field.set(&rea.set, val.Value); err != nil {
		rea.report(val.Line, opt.name, err.Error())
	}
}

func (rea *reader) fillDefaults() {
	for _, opt := range options() {
		if rea.lines[opt.name] > 0 {
			continue
		}
		if opt.required {
			rea.report(rea.start, opt.name, "missing: "+opt.doc)
		}
		if opt.defaultValue == "" {
			continue
		}
		if err := opt.field.set(&rea.set, opt.defaultValue); err != nil {
			rea.report(rea.start, opt.name, err.Error())
		}
	}
	if rea.lines["advertise_address"] == 0 {
		rea.set.AdvertiseAddress = rea.set.Address
	}
	if rea.lines["advertise_rpc_address"] == 0 {
		rea.set.AdvertiseRPCAddress = rea.set.RPCAddress
	}
}

func (rea *reader) report(line int, key, message string) {
	rea.problems = append(rea.problems, yamlparser.Problem{File: rea.file, Line: line, Key: key, Message: message})
}
