package server

import (
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/requester"
)

var (
	block  = regexp.MustCompile("(?s)```sh\n(curl .*?)\n```")
	header = regexp.MustCompile(`-H "([^:"]+): ([^"]*)"`)
	body   = regexp.MustCompile(`-d '([^']*)'`)
	method = regexp.MustCompile(`-X ([A-Z]+)`)
	path   = regexp.MustCompile(`"http://\$ENTRY([^"]*)"`)
)

// example is a curl line of a page.
type example string

// examples reads the curl lines of a page.
func examples(file string) []example {
	data, err := os.ReadFile(file)
	if err != nil {
		panic(err)
	}
	var out []example
	for _, found := range block.FindAllStringSubmatch(string(data), -1) {
		out = append(out, example(found[1]))
	}
	if len(out) == 0 {
		panic("no example on page " + file)
	}
	return out
}

func (exa example) name() string {
	return "example " + string(exa)
}

// want is the status that the page promises: only the example of a refusal is refused.
func (exa example) want() int {
	if strings.Contains(string(exa), "nobody") {
		return http.StatusNotFound
	}
	return http.StatusOK
}

func (exa example) run(sit *site, key *strings.Replacer) reply {
	line := key.Replace(string(exa))
	var headers []string
	for _, found := range header.FindAllStringSubmatch(line, -1) {
		headers = append(headers, found[1], found[2])
	}
	verb, data := http.MethodGet, ""
	if found := body.FindStringSubmatch(line); found != nil {
		verb, data = http.MethodPost, found[1]
	}
	if found := method.FindStringSubmatch(line); found != nil {
		verb = found[1]
	}
	return sit.send(verb, path.FindStringSubmatch(line)[1], data, headers...)
}

func (sit *site) locate() requester.Location {
	var loc requester.Location
	rep := sit.send(http.MethodGet, "/v1/locate?workspace=wedding-halls", "")
	Expect(json.Unmarshal([]byte(rep.body), &loc)).To(Succeed(), rep.body)
	return loc
}
