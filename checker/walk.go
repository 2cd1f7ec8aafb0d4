package checker

import (
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/lovagelever/lovagelever/cataloger"
)

var (
	publicationType = reflect.TypeFor[Publication]()
	durationType    = reflect.TypeFor[cataloger.Duration]()
)

// walker checks the YAML nodes of one file against the Go types that they are decoded into, and removes nodes that do not match so that the rest can still be decoded.
type walker struct {
	chk  *checker
	file string
}

// walk reports whether the node matches the type; a mapping matches even if some of its keys were rejected and removed.
func (wlk walker) walk(path string, node *yaml.Node, typ reflect.Type) bool {
	if node.Kind == yaml.AliasNode {
		return wlk.reject(path, node, "YAML aliases are not supported; write the value out")
	}
	wlk.recordPosition(path, node)
	if node.Tag == "!!null" {
		return wlk.reject(path, node, "has no value")
	}
	switch {
	case typ == durationType:
		return wlk.duration(path, node)
	case typ.Kind() == reflect.Pointer:
		return wlk.walk(path, node, typ.Elem())
	case typ.Kind() == reflect.Struct, typ.Kind() == reflect.Map:
		return wlk.mapping(path, node, typ)
	case typ.Kind() == reflect.Slice:
		return wlk.sequence(path, node, typ.Elem())
	default:
		return wlk.scalar(path, node, typ)
	}
}

func (wlk walker) mapping(path string, node *yaml.Node, typ reflect.Type) bool {
	if node.Kind != yaml.MappingNode {
		return wlk.reject(path, node, "must be a mapping of keys to values")
	}
	var kept []*yaml.Node
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, val := node.Content[i], node.Content[i+1]
		if wlk.walkKey(path, key, val, typ, seen) {
			kept = append(kept, key, val)
		}
	}
	node.Content = kept
	return true
}

// walkKey checks one key of a mapping and its value; it reports whether they match the type.
func (wlk walker) walkKey(path string, key, val *yaml.Node, typ reflect.Type, seen map[string]int) bool {
	sub := joinPath(path, key.Value)
	if line, duplicate := seen[key.Value]; duplicate {
		return wlk.reject(sub, key, fmt.Sprintf("is already given at line %d", line))
	}
	seen[key.Value] = key.Line
	elem, known := valueType(typ, key.Value)
	if !known {
		return wlk.reject(sub, key, "unknown key")
	}
	// A top-level key may be given in one file only.
	if other, given := wlk.chk.positions[sub]; given && path == "" {
		return wlk.reject(sub, key, fmt.Sprintf("is already given in %s at line %d", other.file, other.line))
	}
	wlk.recordPosition(sub, key)
	return wlk.walk(sub, val, elem)
}

func (wlk walker) sequence(path string, node *yaml.Node, elem reflect.Type) bool {
	if node.Kind != yaml.SequenceNode {
		return wlk.reject(path, node, "must be a list")
	}
	fits := true
	for i, item := range node.Content {
		sub := fmt.Sprintf("%s.%d", path, i)
		fits = wlk.walk(sub, item, elem) && fits
	}
	return fits
}

func (wlk walker) duration(path string, node *yaml.Node) bool {
	var dur cataloger.Duration
	if node.Kind != yaml.ScalarNode || node.Tag != "!!str" || node.Decode(&dur) != nil {
		return wlk.reject(path, node, "must be a duration with its unit, such as 16s or 490ms")
	}
	if dur < 0 {
		return wlk.reject(path, node, "must not be below zero")
	}
	return true
}

func (wlk walker) scalar(path string, node *yaml.Node, typ reflect.Type) bool {
	if node.Kind != yaml.ScalarNode {
		return wlk.reject(path, node, "must be a single scalar value")
	}
	fits := node.Decode(reflect.New(typ).Interface()) == nil
	if typ.Kind() == reflect.String {
		fits = node.Tag == "!!str"
	}
	if !fits {
		return wlk.reject(path, node, fmt.Sprintf("%q is not %s", node.Value, typeDescription(typ)))
	}
	return true
}

func (wlk walker) recordPosition(path string, node *yaml.Node) {
	if _, recorded := wlk.chk.positions[path]; !recorded {
		wlk.chk.positions[path] = position{file: wlk.file, line: node.Line}
	}
}

func (wlk walker) reject(path string, node *yaml.Node, message string) bool {
	wlk.chk.rejected[path] = true
	wlk.chk.report(position{file: wlk.file, line: node.Line}, path, message)
	return false
}

// valueType returns the type of the value under a key of a map or struct type; it reports false for an unknown key.
func valueType(typ reflect.Type, key string) (reflect.Type, bool) {
	if typ.Kind() == reflect.Map {
		return typ.Elem(), true
	}
	for i := range typ.NumField() {
		fld := typ.Field(i)
		if name, _, _ := strings.Cut(fld.Tag.Get("yaml"), ","); name == key {
			return fld.Type, true
		}
	}
	return nil, false
}

func typeDescription(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "text (put it in quotes)"
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
