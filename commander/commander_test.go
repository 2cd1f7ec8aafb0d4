package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/commander"
	"github.com/lovagelever/lovagelever/configurer"
	"github.com/lovagelever/lovagelever/requester"
)

const (
	settings = "name: e\navailability_zone: z\nregion: r\naddress: 127.0.0.1:1\nrpc_address: 127.0.0.1:2\n" +
		"log_address: 127.0.0.1:3\nvm_list_address: 127.0.0.1:4\nweight_store_address: 127.0.0.1:5\n"
	rules            = "rules: {workspaces: {}}\n"
	unknownWorkspace = "rules: {workspaces: {w: {weight: 1}}}\n"
	badRules         = "rules: {workspaces: {w: {weight: -1}}}\n"
)

// fakeEntry answers publications with a fixed HTTP status, reports a fixed revision and records the revision of the last publication.
type fakeEntry struct {
	publishStatus int
	revision      int64
	basedOn       int64
}

func (ent *fakeEntry) ServeHTTP(res http.ResponseWriter, req *http.Request) {
	enc := json.NewEncoder(res)
	switch req.URL.Path {
	case "/v1/catalog":
		_ = enc.Encode(requester.Revision{Revision: 4})
	case "/v1/publications":
		var pub requester.Publication
		_ = json.NewDecoder(req.Body).Decode(&pub)
		ent.basedOn = pub.BasedOn
		res.WriteHeader(ent.publishStatus)
		_ = enc.Encode(requester.PublicationResult{Revision: 5, Offset: 50})
	case "/v1/status":
		_ = enc.Encode(requester.Status{Revision: ent.revision, AnsweredBy: "e1", Entries: []requester.Entry{
			{Name: "e1", Reachable: true, Fresh: true, Revision: ent.revision}, {Name: "e2", Revision: 1},
		}})
	case "/v1/locate":
		_ = enc.Encode(requester.Location{Entry: "127.0.0.1:1", KeyPrefix: req.URL.Query().Get("workspace")})
	default:
		http.NotFound(res, req)
	}
}

var cases = []struct {
	name  string
	args  []string
	entry fakeEntry
	code  int
	out   string
}{
	{name: "help", args: []string{"--help"}, out: "Exit codes:"},
	{name: "no command", args: nil, out: "publish"},
	{name: "an unknown command", args: []string{"bogus"}, code: commander.ExitUsage},
	{name: "an unknown flag", args: []string{"status", "--bogus"}, code: commander.ExitUsage},
	{name: "status without an entry", args: []string{"status"}, code: commander.ExitUsage},
	{name: "an entry by host name", args: []string{"status", "--entry", "host:80"}, code: commander.ExitUsage},
	{name: "check without a file", args: []string{"check"}, code: commander.ExitUsage},
	{name: "check", args: []string{"check", "RULES"}, out: "valid: "},
	{name: "check against the catalog in force", args: []string{"check", "--entry", "LIVE", "UNKNOWN"}, code: commander.ExitInvalidFile},
	{name: "check of one file without the catalog", args: []string{"check", "UNKNOWN"}, out: "valid: "},
	{name: "check against an unreachable entry", args: []string{"check", "--entry", "DEAD", "RULES"}, code: commander.ExitFailure},
	{name: "check of an invalid file", args: []string{"check", "BAD"}, code: commander.ExitInvalidFile},
	{name: "check of a missing file", args: []string{"check", "/nowhere.yaml"}, code: commander.ExitFailure},
	{name: "print-settings", args: []string{"entry", "--settings", "SETTINGS", "--print-settings"}, out: "stop_timeout: 1m30s"},
	{name: "entry without settings", args: []string{"entry"}, code: commander.ExitUsage},
	{name: "entry with invalid settings", args: []string{"entry", "--settings", "RULES"}, code: commander.ExitInvalidFile},
	{name: "entry that fails", args: []string{"entry", "--settings", "SETTINGS"}, code: commander.ExitFailure},
	{name: "publish", args: []string{"publish", "--entry", "DEAD", "--entry", "LIVE", "RULES"}, entry: fakeEntry{publishStatus: 200, revision: 5, basedOn: 4},
		out: "e1: in force at revision 5\ne2: not reachable, past its freshness limit\n"},
	{name: "publish from a revision", args: []string{"publish", "--entry", "LIVE", "--based-on", "0", "RULES"}, entry: fakeEntry{publishStatus: 200, revision: 5}, out: "revision 5"},
	{name: "publish of an invalid file", args: []string{"publish", "--entry", "LIVE", "BAD"}, code: commander.ExitInvalidFile},
	{name: "publish of an invalid file to an unreachable entry", args: []string{"publish", "--entry", "DEAD", "BAD"}, code: commander.ExitInvalidFile},
	{name: "publish to an unreachable entry", args: []string{"publish", "--entry", "DEAD", "RULES"}, code: commander.ExitFailure},
	{name: "publish of two files", args: []string{"publish", "--entry", "LIVE", "RULES", "RULES"}, code: commander.ExitUsage},
	{name: "publish with a zero wait", args: []string{"publish", "--entry", "LIVE", "--wait", "0s", "RULES"}, code: commander.ExitUsage},
	{name: "publish that conflicts", args: []string{"publish", "--entry", "LIVE", "RULES"}, entry: fakeEntry{publishStatus: 409, basedOn: 4}, code: commander.ExitConflict},
	{name: "publish that the entry rejects", args: []string{"publish", "--entry", "LIVE", "RULES"}, entry: fakeEntry{publishStatus: 422, basedOn: 4}, code: commander.ExitInvalidFile},
	{name: "publish that does not come into force in time", args: []string{"publish", "--entry", "LIVE", "--wait", "300ms", "RULES"},
		entry: fakeEntry{publishStatus: 200, revision: 4, basedOn: 4}, code: commander.ExitNotInForce, out: "e1: not in force yet, at revision 4"},
	{name: "publish with an unknown outcome", args: []string{"publish", "--entry", "LIVE", "--wait", "300ms", "RULES"}, entry: fakeEntry{publishStatus: 502, basedOn: 4}, code: commander.ExitOutcomeUnknown},
	{name: "status", args: []string{"status", "--entry", "DEAD", "--entry", "LIVE"}, entry: fakeEntry{revision: 5}, out: "revision 5, asked e1"},
	{name: "status as JSON", args: []string{"status", "--json", "--entry", "LIVE"}, entry: fakeEntry{revision: 5}, out: `"asked": "e1"`},
	{name: "locate", args: []string{"locate", "--entry", "LIVE", "--workspace", "w"}, out: `"key_prefix": "w"`},
	{name: "locate without a workspace", args: []string{"locate", "--entry", "LIVE"}, code: commander.ExitUsage},
	{name: "report without a name", args: []string{"report"}, code: commander.ExitUsage},
}

func failingRun(context.Context, configurer.Settings) error { return errors.NotImplementedf("entry") }

func deadAddress() string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer lis.Close()
	return lis.Addr().String()
}

func write(name, content string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("the command line", func() {
	for _, cas := range cases {
		It("returns the documented exit code: "+cas.name, func() {
			ent := cas.entry
			srv := httptest.NewServer(&ent)
			defer srv.Close()
			placeholders := map[string]string{
				"LIVE": srv.Listener.Addr().String(), "DEAD": deadAddress(),
				"RULES": write("rules.yaml", rules), "UNKNOWN": write("unknown.yaml", unknownWorkspace), "BAD": write("bad.yaml", badRules), "SETTINGS": write("settings.yaml", settings),
			}
			args := []string{"lovagelever"}
			for _, arg := range cas.args {
				if word, found := placeholders[arg]; found {
					arg = word
				}
				args = append(args, arg)
			}
			var out bytes.Buffer
			root := commander.New(commander.RunFunc(failingRun))
			root.Writer, root.ErrWriter = &out, GinkgoWriter
			err := root.Run(context.Background(), args)
			Expect(commander.ExitCode(err)).To(Equal(cas.code), "%v", err)
			Expect(out.String()).To(ContainSubstring(cas.out))
			Expect(ent.basedOn).To(Equal(cas.entry.basedOn))
		})
	}
})
