package checker

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/yamlparser"
)

// Check parses publication files as one publication and validates it against the current catalog, which may be nil; it fails with yamlparser.Problems that list every error.
func Check(files []File, current *cataloger.Catalog) (Publication, error) {
	var pub Publication
	chk := checker{positions: map[string]position{}, rejected: map[string]bool{}}
	for _, fil := range files {
		chk.readFile(fil, &pub)
	}
	if pub.Inventory == nil && pub.Rules == nil && len(chk.problems) == 0 {
		chk.report(position{file: firstFileName(files), line: 1}, "", "neither inventory nor rules are given")
	}
	chk.validateCatalog(pub, current)
	if len(chk.problems) > 0 {
		chk.problems.Sort()
		return Publication{}, chk.problems
	}
	return pub, nil
}

// checker collects the positions of all keys, the paths of rejected values and the problems of several files.
type checker struct {
	positions map[string]position
	rejected  map[string]bool
	problems  yamlparser.Problems
}

// position is a line, counted from 1, of a file.
type position struct {
	file string
	line int
}

func (chk *checker) readFile(fil File, pub *Publication) {
	root, err := yamlparser.Parse(fil.Name, fil.Data)
	if err != nil {
		chk.addParseError(fil.Name, err)
		return
	}
	wlk := walker{chk: chk, file: fil.Name}
	wlk.walk("", root, publicationType)
	if err := root.Decode(pub); err != nil {
		chk.report(position{file: fil.Name, line: root.Line}, "", err.Error())
	}
}

// addParseError adds the problems that err holds, or else err itself as a problem at line 1.
func (chk *checker) addParseError(file string, err error) {
	prs, typed := errors.AsType[yamlparser.Problems](err)
	if !typed {
		chk.report(position{file: file, line: 1}, "", err.Error())
		return
	}
	chk.problems = append(chk.problems, prs...)
}

func (chk *checker) report(pos position, key, message string) {
	chk.problems = append(chk.problems, yamlparser.Problem{File: pos.file, Line: pos.line, Key: key, Message: message})
}

// validateCatalog reports the problems of the catalog that the publication would result in, except those of values already rejected.
func (chk *checker) validateCatalog(pub Publication, current *cataloger.Catalog) {
	for _, prb := range catalogProblems(pub, current) {
		if chk.alreadyRejected(prb.Path) {
			continue
		}
		pos, found := chk.positionOf(prb.Path)
		message := prb.Message
		if !found {
			message = fmt.Sprintf("conflicts with the current catalog: %s", prb.Message)
		}
		chk.report(pos, prb.Path, message)
	}
}

func catalogProblems(pub Publication, current *cataloger.Catalog) []cataloger.Problem {
	if pub.Inventory == nil && pub.Rules == nil {
		return nil
	}
	var cat cataloger.Catalog
	if current != nil {
		cat = *current
	}
	if pub.Rules != nil {
		cat.Rules = *pub.Rules
	}
	if pub.Inventory != nil {
		cat.Inventory = *pub.Inventory
	}
	if pub.Inventory == nil && current == nil {
		return cataloger.ValidateRules(cat.Rules)
	}
	return cataloger.Validate(cat)
}

// alreadyRejected reports whether the value at the path or one that contains it was rejected while the files were parsed.
func (chk *checker) alreadyRejected(path string) bool {
	for path != "" {
		if chk.rejected[path] {
			return true
		}
		path = parentPath(path)
	}
	return false
}

// positionOf returns the position of the path or, if it is not in a file, of the nearest key that contains it.
func (chk *checker) positionOf(path string) (position, bool) {
	for path != "" {
		if pos, found := chk.positions[path]; found {
			return pos, true
		}
		path = parentPath(path)
	}
	return chk.positions[""], false
}

func parentPath(path string) string {
	cut := strings.LastIndexByte(path, '.')
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

func firstFileName(files []File) string {
	if len(files) == 0 {
		return "publication"
	}
	return files[0].Name
}
