package yamlparser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a file, with its line, counted from 1, and its key, which may be empty.
type Problem struct {
	File    string
	Line    int
	Key     string
	Message string
}

// String formats the problem on one line that begins with its file and line.
func (prb Problem) String() string {
	if prb.Key == "" {
		return fmt.Sprintf("%s:%d: %s", prb.File, prb.Line, prb.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", prb.File, prb.Line, prb.Key, prb.Message)
}

// Problems is an error that lists all problems of one or more files.
type Problems []Problem

// Error formats the problems, one on each line.
func (prs Problems) Error() string {
	lines := make([]string, len(prs))
	for i, prb := range prs {
		lines[i] = prb.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the problems by file, line, key and message.
func (prs Problems) Sort() {
	slices.SortFunc(prs, func(one, two Problem) int {
		return cmp.Or(
			cmp.Compare(one.File, two.File),
			cmp.Compare(one.Line, two.Line),
			cmp.Compare(one.Key, two.Key),
			cmp.Compare(one.Message, two.Message),
		)
	})
}
