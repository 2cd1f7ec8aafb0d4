package configurer

import (
	"io"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"
)

// Print writes the effective settings as YAML, each with its help text as a comment.
func Print(out io.Writer, set Settings) error {
	root := yaml.Node{Kind: yaml.MappingNode}
	for _, opt := range options() {
		key := &yaml.Node{Kind: yaml.ScalarNode, Value: opt.name}
		val := &yaml.Node{Kind: yaml.ScalarNode, Value: opt.field.get(set), LineComment: opt.doc}
		if val.Value == "" {
			val.Style = yaml.DoubleQuotedStyle
		}
		root.Content = append(root.Content, key, val)
	}
	return errors.Annotate(yaml.NewEncoder(out).Encode(&root), "configurer: print settings")
}
