package yamlparser

import (
	"bytes"
	"io"
	"regexp"
	"strconv"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"
)

var errorLinePattern = regexp.MustCompile(`line (\d+)`)

// Parse parses a file that must hold exactly one YAML mapping; it fails with Problems.
func Parse(file string, data []byte) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return nil, Problems{{File: file, Line: 1, Message: "the file is empty"}}
	}
	if err != nil {
		return nil, Problems{{File: file, Line: lineOf(err), Message: err.Error()}}
	}
	root := doc.Content[0]
	if root.Kind != yaml.MappingNode {
		return nil, Problems{{File: file, Line: root.Line, Message: "must be a mapping of keys to values"}}
	}
	var next yaml.Node
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		return nil, Problems{{File: file, Line: max(next.Line, 1), Message: "must hold one document only"}}
	}
	return root, nil
}

// lineOf returns the line number in the text of a YAML syntax error, or 1 if it has none.
func lineOf(err error) int {
	found := errorLinePattern.FindStringSubmatch(err.Error())
	if found == nil {
		return 1
	}
	line, err := strconv.Atoi(found[1])
	if err != nil {
		return 1
	}
	return line
}
