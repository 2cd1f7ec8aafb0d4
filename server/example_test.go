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
	curlBlock  = regexp.MustCompile("(?s)```sh\n(curl .*?)\n```")
	headerFlag = regexp.MustCompile(`-H "([^:"]+): ([^"]*)"`)
	dataFlag   = regexp.MustCompile(`-d '([^']*)'`)
	methodFlag = regexp.MustCompile(`-X ([A-Z]+)`)
	urlPath    = regexp.MustCompile(`"http://\$ENTRY([^"]*)"`)
)

// example is a curl command from a documentation page.
type example string

// examples reads the curl commands from a documentation page.
func examples(file string) []example {
	data, err := os.ReadFile(file)
	if err != nil {
		panic(err)
	}
	var out []example
	for _, found := range curlBlock.FindAllStringSubmatch(string(data), -1) {
		out = append(out, example(found[1]))
	}
	if len(out) == 0 {
		panic("no curl command on page " + file)
	}
	return out
}

func (exa example) name() string {
	return "example " + string(exa)
}

// wantStatus returns the documented status: 404 for the example of a refusal, which names the workspace nobody, and 200 for all others.
func (exa example) wantStatus() int {
	if strings.Contains(string(exa), "nobody") {
		return http.StatusNotFound
	}
	return http.StatusOK
}

func (exa example) run(sit *testSite, key *strings.Replacer) reply {
	line := key.Replace(string(exa))
	var headers []string
	for _, found := range headerFlag.FindAllStringSubmatch(line, -1) {
		headers = append(headers, found[1], found[2])
	}
	verb, data := http.MethodGet, ""
	if found := dataFlag.FindStringSubmatch(line); found != nil {
		verb, data = http.MethodPost, found[1]
	}
	if found := methodFlag.FindStringSubmatch(line); found != nil {
		verb = found[1]
	}
	return sit.send(verb, urlPath.FindStringSubmatch(line)[1], data, headers...)
}

func (sit *testSite) locate() requester.Location {
	var loc requester.Location
	rep := sit.send(http.MethodGet, "/v1/locate?workspace=wedding-halls", "")
	Expect(json.Unmarshal([]byte(rep.body), &loc)).To(Succeed(), rep.body)
	return loc
}
