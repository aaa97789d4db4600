//go:build !race

package faults

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/FAULTS.md from the tables")

// pagePath is the page that is printed from the tables.
const pagePath = "../../docs/FAULTS.md"

// provedElsewhere are faults that need more than a whole fleet in one process.
var provedElsewhere = []struct{ fault, steps, proof string }{
	{"a process pauses and wakes late", "use of a permit, a loan and a list",
		"`limit.TestWorkNeverExceedsLimit` (a model with a true target), `target.TestReadAfterPause`"},
	{"late, lost, repeated and reordered messages", "permits, loans and running work",
		"`limit.TestWorkNeverExceedsLimit`"},
	{"late, lost, repeated and reordered messages", "service counters and lifts",
		"`fairness.TestMergeLaws`, `fairness.TestHeartbeatsConverge`, `dispatch.TestGapBounded`"},
	{"late, lost and repeated messages; two operators' changes that race", "configuration",
		"`config.TestStoresNeverRevert`, `config.TestStoreIsLinearizable` (porcupine)"},
	{"restart while the configuration service is stale", "configuration",
		"`config.TestRestartWhileServiceIsStale` (porcupine)"},
	{"a connection breaks at each byte of request and answer", "a call that may not be repeated",
		"`target.TestCallArrivesAtMostOnce`"},
	{"a connection breaks at each byte of the answer", "streaming and resuming",
		"`target.TestGenerateBreaksAtEachByte`"},
	{"frames late, repeated, reordered or cut", "streaming", "`target.TestReassemblerProperty`"},
	{"an old fencing number", "orders to targets", "`target.TestEngineChecks`"},
	{"peers without the key, garbage, oversized messages, silence", "the inner protocol",
		"`peer.TestHostilePeerIsCutOff`, `peer.TestOnlyKeyHoldersSpeak`, `peer.TestSilentConnectionIsReplaced`"},
}

// notProved are cells that the brief asks for and that no test covers yet.
var notProved = []string{
	"pairs of faults during a change of the fleet, and three faults at once",
	"a pause (stop and continue) of a whole instance at each step of a request: only single steps are tested, with real processes",
	"readers of the list that are stale to different degrees for longer than the hold-down, beside a cut between the same instances",
	"a partition between regions that lasts longer than a request's time limit",
	"cuts at each byte between caller and entry of a streamed answer",
}

// page prints the matrix. Every cell named here is a subtest of the same name.
func page() string {
	var b strings.Builder
	b.WriteString("# Fault matrix\n\n" +
		"Printed from the tables in `internal/faults` by\n" +
		"`go test ./internal/faults -run TestPage -update`; do not edit. Each cell is a subtest with a\n" +
		"fixed seed under virtual time, named FAULT/STEP. In each, whole instances run with stand-ins\n" +
		"over an in-memory network: three regions with two instances, two engines and one service each.\n\n" +
		"After each cell these hold: every answer that a caller got is its own, byte for byte; every\n" +
		"failure has a typed outcome; no request that was told \"not run\" reached a target; no engine ran\n" +
		"more than its limit or, when cold, its cold limit (an engine that turns cold under load without\n" +
		"warning may get one request more before its next report); and new requests of every customer\n" +
		"are served within 30 s of the fault's end. Where the table says \"served\", the request that the\n" +
		"cell follows must get its whole answer in spite of the fault.\n\n")
	writeTable(&b)
	writePairs(&b)
	writeElsewhere(&b)
	return b.String()
}

func writeTable(b *strings.Builder) {
	cells := 0
	fmt.Fprintf(b, "## Faults at the steps of a request, of a once-call and of changes\n\n| fault |")
	var columns []string
	for _, s := range stepsOfRequest {
		columns = append(columns, s.name)
	}
	for _, s := range stepsOfCall {
		columns = append(columns, s.name)
	}
	for _, c := range changesOfFleet {
		columns = append(columns, c.name)
	}
	fmt.Fprintf(b, " %s |\n|---|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	for _, f := range faultsOfBrief {
		fmt.Fprintf(b, "| %s |", f.name)
		for i := range columns {
			cells++
			if f.serves && i < len(stepsOfRequest) {
				b.WriteString(" served |")
				continue
			}
			b.WriteString(" proved |")
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(b, "\n%d cells: `TestEveryFaultAtEveryStep`, `TestOnceCallsRunAtMostOnce`, `TestEveryFaultDuringEveryChange`.\n\n", cells)
}

func writePairs(b *strings.Builder) {
	pairs := pairsOfFaults()
	fmt.Fprintf(b, "## Two faults at once\n\n%d pairs, each while the request waits and while its answer streams (`TestPairsOfFaults`):\n\n", len(pairs))
	for _, pair := range pairs {
		fmt.Fprintf(b, "- %s + %s\n", pair[0].name, pair[1].name)
	}
	fmt.Fprintf(b, "\n## A request that crashes each target that runs it\n\n"+
		"Sent twelve times through all entries beside innocent requests (`TestRequestThatCrashesTargets`), with:\n\n")
	for _, name := range poisonFaults {
		fmt.Fprintf(b, "- %s\n", name)
	}
	b.WriteString("\n")
}

func writeElsewhere(b *strings.Builder) {
	b.WriteString("## Proved in other packages\n\n| fault | step | proof |\n|---|---|---|\n")
	for _, row := range provedElsewhere {
		fmt.Fprintf(b, "| %s | %s | %s |\n", row.fault, row.steps, row.proof)
	}
	fmt.Fprintf(b, "\n## Not proved yet\n\n%d groups of cells:\n\n", len(notProved))
	for _, line := range notProved {
		fmt.Fprintf(b, "- %s\n", line)
	}
}

// testName finds tests that a page names, as in `limit.TestColdLimitOfOne`.
var testName = regexp.MustCompile("`([a-z]+)\\.(Test[A-Za-z]+)`")

// TestPagesNameTests checks that every test that the pages name exists.
func TestPagesNameTests(t *testing.T) {
	for _, path := range []string{pagePath, "../../docs/GUARANTEES.md"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range testName.FindAllStringSubmatch(string(text), -1) {
			if !testExists(t, match[1], match[2]) {
				t.Errorf("%s names %s.%s, which does not exist", path, match[1], match[2])
			}
		}
	}
}

// testExists looks for a test in the package of that name.
func testExists(t *testing.T, name, test string) bool {
	for _, pattern := range []string{"../" + name + "/*_test.go", "../*/" + name + "/*_test.go", "../../cmd/" + name + "/*_test.go", "../../" + name + "/*_test.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(string(text), "func "+test+"(") {
				return true
			}
		}
	}
	return false
}

func TestPage(t *testing.T) {
	want := page()
	if *update {
		if err := os.WriteFile(pagePath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/FAULTS.md is not what the tables say; run with -update")
	}
}
