package checker

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/pinpointer"
)

// Check reads publication files that belong together and judges them on top of the current catalog, which may be nil; it fails with pinpointer.Problems that name every fault.
func Check(files []File, current *cataloger.Catalog) (Publication, error) {
	var pub Publication
	chk := checker{places: map[string]place{}, faulty: map[string]bool{}}
	for _, fil := range files {
		chk.readFile(fil, &pub)
	}
	if pub.Inventory == nil && pub.Rules == nil && len(chk.problems) == 0 {
		chk.report(place{file: nameOf(files), line: 1}, "", "neither inventory nor rules are given")
	}
	chk.judge(pub, current)
	if len(chk.problems) > 0 {
		chk.problems.Sort()
		return Publication{}, chk.problems
	}
	return pub, nil
}

// checker gathers the places of all keys and the problems of several files.
type checker struct {
	places   map[string]place
	faulty   map[string]bool
	problems pinpointer.Problems
}

// place is a line of a file.
type place struct {
	file string
	line int
}

func (chk *checker) readFile(fil File, pub *Publication) {
	root, err := pinpointer.Parse(fil.Name, fil.Data)
	if err != nil {
		chk.take(fil.Name, err)
		return
	}
	wlk := walker{chk: chk, file: fil.Name}
	wlk.walk("", root, publicationType)
	if err := root.Decode(pub); err != nil {
		chk.report(place{file: fil.Name, line: root.Line}, "", err.Error())
	}
}

func (chk *checker) take(file string, err error) {
	prs, typed := errors.AsType[pinpointer.Problems](err)
	if !typed {
		chk.report(place{file: file, line: 1}, "", err.Error())
		return
	}
	chk.problems = append(chk.problems, prs...)
}

func (chk *checker) report(plc place, key, message string) {
	chk.problems = append(chk.problems, pinpointer.Problem{File: plc.file, Line: plc.line, Key: key, Message: message})
}

// judge reports what the catalog that would follow has wrong.
func (chk *checker) judge(pub Publication, current *cataloger.Catalog) {
	for _, prb := range validate(pub, current) {
		if chk.follows(prb.Path) {
			continue
		}
		plc, found := chk.find(prb.Path)
		message := prb.Message
		if !found {
			message = fmt.Sprintf("does not fit what is in force: %s", prb.Message)
		}
		chk.report(plc, prb.Path, message)
	}
}

func validate(pub Publication, current *cataloger.Catalog) []cataloger.Problem {
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

// follows reports whether the value at the path, or one that it belongs to, was refused before.
func (chk *checker) follows(path string) bool {
	for path != "" {
		if chk.faulty[path] {
			return true
		}
		path = parent(path)
	}
	return false
}

// find returns the place of the path, or else of the nearest key that it belongs to.
func (chk *checker) find(path string) (place, bool) {
	for path != "" {
		if plc, found := chk.places[path]; found {
			return plc, true
		}
		path = parent(path)
	}
	return chk.places[""], false
}

func parent(path string) string {
	cut := strings.LastIndexByte(path, '.')
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

func nameOf(files []File) string {
	if len(files) == 0 {
		return "publication"
	}
	return files[0].Name
}
