package register_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cicadacross/internal/register"
)

const header = "service,target,host,region,availability_zone,upstream,peer,caller,operator,slots,connections\n"

const goodRegister = header +
	"portal,p1,h1,west,west-a,127.0.0.1:8080,127.0.0.1:7946,127.0.0.1:8000,127.0.0.1:9000,6,130\n" +
	"portal,p2,h2,west,west-b,127.0.0.2:8080,127.0.0.2:7946,127.0.0.2:8000,127.0.0.2:9000,6,130\n" +
	"vault,v1,h3,west,west-a,127.0.0.3:8080,127.0.0.3:7946,127.0.0.3:8000,127.0.0.3:9000,6,130\n"

const goodRules = `version = 7

[[rank]]
name = "urgent"
urgency = 1
target_time = "300ms"
worth = 10

[[rank]]
name = "bulk"
urgency = 2
target_time = "5s"
worth = 0.5

[[route]]
name = "pages"
service = "portal"
path_prefix = "/"
rank = "urgent"
repeatable = true
timeout = "2s"

[[route]]
name = "uploads"
service = "vault"
method = "POST"
path_prefix = "/media"
rank = "bulk"
timeout = "60s"

[[leaving]]
host = "h2"
`

func parse(csv, rules string) (*register.Publication, register.Faults) {
	return register.Parse(register.NewDocument("r.csv", []byte(csv)), register.NewDocument("r.toml", []byte(rules)))
}

func mustParse(t *testing.T, csv, rules string) *register.Publication {
	t.Helper()
	p, faults := parse(csv, rules)
	assert.Equal(t, faults.String(), "")
	return p
}

func ExampleParse() {
	csv := strings.Replace(goodRegister, "127.0.0.2:8080", "gateway:8080", 1)
	rules := strings.Replace(goodRules, `service = "vault"`, `service = "valut"`, 1)
	_, faults := parse(csv, rules)
	for _, fault := range faults {
		fmt.Println(fault)
	}
	// Output:
	// r.csv:3: upstream: "gateway:8080" is not an IP address and a port; write, for example, 10.1.0.1:8080
	// r.csv:4: service: no route leads to service "vault"; add a [[route]] with this service to the rules
	// r.toml:25: service: there is no service "valut"; did you mean "vault"?
}

// Guards against fields that are lost or swapped between the documents and the configuration that daemons apply.
func TestParseKeepsEveryField(t *testing.T) {
	c := mustParse(t, goodRegister, goodRules).Configuration()
	assert.Equal(t, c.Version().Number(), uint64(7))
	target, ok := c.TargetOn("h3")
	assert.Assert(t, ok)
	assert.Equal(t, target.Service()+" "+target.Name(), "vault v1")
	assert.Equal(t, target.Region()+" "+target.AvailabilityZone(), "west west-a")
	assert.Equal(t, target.Upstream()+" "+target.Peer(), "127.0.0.3:8080 127.0.0.3:7946")
	assert.Equal(t, target.Caller()+" "+target.Operator(), "127.0.0.3:8000 127.0.0.3:9000")
	assert.Equal(t, target.Slots(), 6)
	assert.Equal(t, target.Connections(), 130)
	vault, _ := c.Service("vault")
	route, ok := vault.Route("POST", "/media/7")
	assert.Assert(t, ok)
	assert.Equal(t, route.Name(), "uploads")
	assert.Equal(t, route.Timeout(), time.Minute)
	assert.Equal(t, route.Repeatable(), false)
	assert.Equal(t, route.Rank().TargetTime(), 5*time.Second)
	assert.Equal(t, route.Rank().Worth(), 0.5)
	assert.DeepEqual(t, c.LeavingHosts(), []string{"h2"})
	assert.Assert(t, c.PartDigest(register.ServicePart("vault")) != "")
}

// Guards against invalid input that is accepted, and against a fault with a wrong location or without a remedy.
func TestParseReportsEachFault(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           string
	}{
		{"misspelt header", "availability_zone", "availability_zne",
			`r.csv:1: availability_zne: unknown column; did you mean "availability_zone"?`},
		{"missing column", ",slots,", ",", `r.csv:1: slots: the column is missing`},
		{"semicolons", header, strings.ReplaceAll(header, ",", ";"), `r.csv:1: the columns are not separated by commas`},
		{"column twice", ",slots,", ",slots,slots,", `r.csv:1: slots: the column appears twice`},
		{"short row", ",6,130\nvault", ",6\nvault", `r.csv:3: the row has 10 cells and the header 11`},
		{"bare quote", "portal,p2", `por"tal,p2`, `r.csv:3: the row is not valid CSV`},
		{"duplicate host", ",h3,", ",h1,", `r.csv:4: host: host "h1" is already used in line 2`},
		{"host in another case", ",h3,", ",H1,", `r.csv:4: host: host "H1" and "h1" in line 2 differ in case only`},
		{"duplicate target", ",p2,", ",p1,", `r.csv:3: target: target "p1" is already used in line 2`},
		{"duplicate address", "127.0.0.3:9000", "127.0.0.1:8080",
			`r.csv:4: operator: address 127.0.0.1:8080 is already used as upstream in line 2`},
		{"no availability zone", "west-b", "", `r.csv:3: availability_zone: the name is missing`},
		{"zone in two regions", "vault,v1,h3,west,", "vault,v1,h3,east,",
			`r.csv:4: availability_zone: availability zone "west-a" is in region "west" and in region "east"`},
		{"address without port", "127.0.0.2:7946", "127.0.0.2",
			`r.csv:3: peer: "127.0.0.2" is not an IP address and a port`},
		{"port 0", "127.0.0.2:7946", "127.0.0.2:0", `r.csv:3: peer: "127.0.0.2:0" has port 0`},
		{"any address", "127.0.0.2:7946", "0.0.0.0:7946", `r.csv:3: peer: "0.0.0.0:7946" is not the address of one host`},
		{"slots not a number", "127.0.0.2:9000,6", "127.0.0.2:9000,six", `r.csv:3: slots: "six" is not a whole number`},
		{"no slots", "127.0.0.2:9000,6", "127.0.0.2:9000,0",
			`r.csv:3: slots: 0 is out of range; write a number from 1 to 10000`},
		{"more slots than connections", "127.0.0.2:9000,6", "127.0.0.2:9000,131",
			`r.csv:3: slots: 131 slots need as many connections`},
		{"space in name", "portal,p2", "portal,p 2", `r.csv:3: target: the name "p 2" contains ' '`},
		{"misspelt key", "urgency = 2", "urgancy = 2", `r.toml:11: rank.urgancy: unknown key; did you mean "urgency"?`},
		{"key in capitals", "urgency = 2", "Urgency = 2", `r.toml:11: Urgency: the key has capital letters; write urgency`},
		{"unknown table", "[[leaving]]", "[[leavin]]", `r.toml:31: leavin: unknown key; did you mean "leaving"?`},
		{"single brackets", "[[leaving]]", "[leaving]", `r.toml:31: leaving: `},
		{"syntax", "worth = 10", "worth = ", `r.toml:7: `},
		{"version as text", "version = 7", `version = "7"`, `r.toml:1: version: 7 is not a whole number`},
		{"version 0", "version = 7", `version = 0`, `r.toml:1: version: version 0 is out of range`},
		{"version too large", "version = 7", `version = 1000000000001`,
			`r.toml:1: version: version 1000000000001 is out of range`},
		{"no version", "version = 7", ``, `r.toml: version: the key is missing`},
		{"no urgency", "urgency = 2\n", "", `r.toml:9: urgency: the key is missing`},
		{"duplicate urgency", "urgency = 2", "urgency = 1",
			`r.toml:11: urgency: ranks "urgent" and "bulk" have the same urgency 1`},
		{"number as target time", `"300ms"`, "300", `r.toml:6: target_time: 300 is not a duration in quotes`},
		{"worth not a number", "worth = 0.5", "worth = nan", `r.toml:13: worth: NaN is out of range`},
		{"worth negative", "worth = 0.5", "worth = -1", `r.toml:13: worth: -1 is out of range`},
		{"unknown rank", `rank = "bulk"`, `rank = "bukl"`, `r.toml:28: rank: there is no rank "bukl"; did you mean "bulk"?`},
		{"unknown host", `host = "h2"`, `host = "h22"`, `r.toml:32: host: there is no host "h22"; did you mean "h2"?`},
		{"duplicate route", `name = "uploads"`, `name = "pages"`,
			`r.toml:24: name: route "pages" is already used in line 16`},
		{"lower-case method", `"POST"`, `"post"`,
			`r.toml:26: method: "post" is not a method that can be routed; did you mean "POST"?`},
		{"relative path", `"/media"`, `"media"`, `r.toml:27: path_prefix: "media" doesn't start with "/"`},
		{"unclean path", `"/media"`, `"/a/../media"`,
			`r.toml:27: path_prefix: "/a/../media" contains "//" or a relative segment; write /media`},
		{"no timeout", `timeout = "60s"`, `timeout = "0s"`, `r.toml:29: timeout: 0s is out of range`},
		{"bad UTF-8", "portal,p2", "portal,p\xff2", `r.csv:3: the line is not valid UTF-8`},
		{"UTF-16", "service,target", "\xff\xfes\x00e\x00", `r.csv:1: the file is encoded as UTF-16; save the file as UTF-8`},
		{"zero byte", "portal,p2", "portal,p\x002", `r.csv:3: the file has a zero byte`},
		{"identical match", "[[leaving]]", "[[route]]\nname = \"again\"\nservice = \"portal\"\npath_prefix = \"/\"\n" +
			"rank = \"bulk\"\ntimeout = \"1s\"\n[[leaving]]",
			`r.toml:34: path_prefix: routes "pages" and "again" match the same requests`},
		{"leaving twice", "[[leaving]]", "[[leaving]]\nhost = \"h2\"\n[[leaving]]",
			`r.toml:34: host: host "h2" is listed twice`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			csv := strings.Replace(goodRegister, c.old, c.new, 1)
			rules := goodRules
			if csv == goodRegister {
				rules = strings.Replace(goodRules, c.old, c.new, 1)
				assert.Assert(t, rules != goodRules, "the case changes nothing")
			}
			_, faults := parse(csv, rules)
			assert.Assert(t, is.Contains(faults.String(), c.want))
			for _, f := range faults {
				assert.Assert(t, f.File() != "" && f.Message() != "" && f.Remedy() != "", f.String())
			}
		})
	}
}

// Guards against reporting only the first fault, after which operators would have to correct and check the documents
// many times.
func TestParseReportsAllFaultsOfBothDocuments(t *testing.T) {
	csv := strings.NewReplacer("west-b", "", "127.0.0.3:9000,6", "127.0.0.3:9000,x", "127.0.0.1:7946", "-").
		Replace(goodRegister)
	rules := strings.NewReplacer("worth = 10", `worth = "ten"`, "worth = 0.5", "worht = 0.5", `"60s"`, "true").
		Replace(goodRules)
	_, faults := parse(csv, rules)
	var got []string
	for _, f := range faults {
		got = append(got, fmt.Sprintf("%s:%d:%s", f.File(), f.Line(), f.Field()))
	}
	assert.DeepEqual(t, got, []string{
		"r.csv:2:peer", "r.csv:3:availability_zone", "r.csv:4:slots",
		"r.toml:7:worth", "r.toml:9:worth", "r.toml:13:rank.worht", "r.toml:29:timeout",
	})
}

// Guards against an unreadable row that hides the faults of other rows or causes false ones.
func TestParseReportsFaultsBesideAnUnreadableRow(t *testing.T) {
	csv := strings.NewReplacer("vault,v1", `va"ult,v1`, "west-b", "").Replace(goodRegister)
	_, faults := parse(csv, strings.Replace(goodRules, "worth = 10", "worth = 0", 1))
	assert.Equal(t, len(faults), 3, faults.String())
	assert.Equal(t, faults[0].Field(), "availability_zone")
	assert.Equal(t, faults[1].Line(), 4)
	assert.Equal(t, faults[2].Field(), "worth")
}

// Guards against documents that are refused or rendered differently because of how a spreadsheet or editor formatted
// them.
func TestParseAcceptsWhatSpreadsheetsWrite(t *testing.T) {
	want := mustParse(t, goodRegister, goodRules)
	moved := strings.NewReplacer("portal,p1,h1", "h1,portal,p1", "portal,p2,h2", "h2,portal,p2",
		"vault,v1,h3", "h3,vault,v1", "service,target,host", "host,service,target").Replace(goodRegister)
	for name, csv := range map[string]string{
		"byte order mark":  "\ufeff" + goodRegister,
		"Windows newlines": strings.ReplaceAll(goodRegister, "\n", "\r\n"),
		"empty rows":       goodRegister + ",,,,,,,,,,\n\n",
		"quotes, spaces":   strings.ReplaceAll(goodRegister, "portal,", `" portal ",`),
		"empty column":     strings.ReplaceAll(goodRegister, "\n", ",\n"),
		"columns moved":    moved,
	} {
		t.Run(name, func(t *testing.T) {
			got := mustParse(t, csv, "\ufeff"+strings.ReplaceAll(goodRules, "\n", "\r\n"))
			assert.Equal(t, string(got.Manifest()), string(want.Manifest()))
		})
	}
}

// Guards against names that look equal but differ in Unicode form, and against rejection of non-English names.
func TestParseAcceptsCyrillicAndAccentedNames(t *testing.T) {
	csv := strings.NewReplacer("portal", "портал", "vault", "vaulté", ",h2,", ",paternò,").Replace(goodRegister)
	rules := strings.NewReplacer("portal", "портал", "vault", "vaulte\u0301", `"h2"`, "\"paterno\u0300\"").
		Replace(goodRules)
	c := mustParse(t, csv, rules).Configuration()
	_, ok := c.Service("портал")
	assert.Assert(t, ok)
	assert.Assert(t, c.Leaving("paternò"))
}

// Guards against a wrong file that exhausts memory, and against a part that is too large for the platform.
func TestParseRefusesOversizedInput(t *testing.T) {
	_, faults := parse(strings.Repeat("x", 16<<20+1), goodRules)
	assert.Assert(t, is.Contains(faults.String(), "larger than 16 MB"))

	var large strings.Builder
	large.WriteString(goodRegister)
	for i := range 6000 {
		ip := fmt.Sprintf("10.0.%d.%d", i/256, i%256)
		fmt.Fprintf(&large, "portal,t%d,host%d,west,west-a,%s:1,%s:2,%s:3,%s:4,6,130\n", i, i, ip, ip, ip, ip)
	}
	_, faults = parse(large.String(), goodRules)
	assert.Assert(t, is.Contains(faults.String(), `part "service/portal"`))
	assert.Assert(t, is.Contains(faults.String(), "split the service"))
}
