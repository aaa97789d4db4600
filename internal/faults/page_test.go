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

var update = flag.Bool("update", false, "generate docs/FAULTS.md from the tables")

// pagePath is the page that is generated from the tables.
const pagePath = "../../docs/FAULTS.md"

// coveredElsewhere lists faults that need more than a whole fleet in one process.
var coveredElsewhere = []struct{ fault, steps, proof string }{
	{"a process pauses and resumes late", "use of a permit, a loan and a list",
		"`limit.TestWorkNeverExceedsLimit` (a model with a real target), `target.TestReadAfterPause`"},
	{"late, lost, repeated and reordered messages", "permits, loans and running work",
		"`limit.TestWorkNeverExceedsLimit`"},
	{"late, lost, repeated and reordered messages", "service counters and lifts",
		"`fairness.TestMergeLaws`, `fairness.TestHeartbeatsConverge`, `dispatch.TestGapBounded`"},
	{"late, lost and repeated messages; concurrent changes by two operators", "configuration",
		"`config.TestStoresNeverRevert`, `config.TestStoreIsLinearizable` (porcupine)"},
	{"restart while the configuration service is stale", "configuration",
		"`config.TestRestartWhileServiceIsStale` (porcupine)"},
	{"a connection breaks at each byte of request and answer", "a call that may not be repeated",
		"`target.TestCallArrivesAtMostOnce`"},
	{"a connection breaks at each byte of the answer", "streaming and resuming",
		"`target.TestGenerateBreaksAtEachByte`"},
	{"frames late, repeated, reordered or truncated", "streaming", "`target.TestReassemblerProperty`"},
	{"an old fencing number", "requests to targets", "`target.TestEngineChecks`"},
	{"peers without the key, malformed or oversized messages, silent peers", "the peer protocol",
		"`peer.TestHostilePeerIsCutOff`, `peer.TestOnlyKeyHoldersSpeak`, `peer.TestSilentConnectionIsReplaced`"},
	{"a target sends without end", "status line, headers, informational answers, a skipped answer, framing of a body",
		"`upstream.TestEndlessResponseHeadIsCutOff`, `upstream.TestEndlessFramingOfBodyIsCutOff`, `upstream.TestSlowEndlessHeadIsCutOff`"},
	{"a target sends without end", "events, the body of a refusal, an answer, a line of an answer",
		"`ingress.TestEndlessEventIsCutOff`, `ingress.TestEndlessBodyOfRefusalIsCutOff`, `target.TestEndlessBodyOfRefusalIsCutOff`, `target.TestEndlessAnswerIsCutOff`"},
	{"the store or a peer sends without end, or very many records", "reading records",
		"`platform.TestEndlessStoreAnswerIsCutOff`, `platform.TestEndlessStorePagesAreCutOff`, `publisher.TestEndlessReplyIsCutOff`, `records.TestRecordsFromPeerFitInMemory`"},
	{"a caller's compressed message has a very long text", "any request", "`entry.TestCompressedMessageIsNotDecompressedBeyondLimit`"},
	{"a target answers with a malformed status", "first run, retry, replacement, resumed stream, calls",
		"`upstream.TestMalformedStatusIsAnError`, `target.TestMalformedStatusPromisesNothing`, `platform.TestMalformedStatusIsBrokenAnswer`"},
	{"a target answers early and resets", "a request that is being written",
		"`upstream.TestEarlyAnswerResetDuringUploadIsNotComplete`, `platform.TestEarlyAnswerResetDuringUploadIsNotPassedOn`, `target.TestEarlyAnswerResetDuringCallIsNotComplete`"},
	{"a peer refuses, ends, hangs or sends nonsense", "connections handed over",
		"`gateway.TestRefusedConnectionIsTriedElsewhereOnce`, `gateway.TestRequestOfLostPeerIsNotRepeated`, `gateway.TestSilentPeerIsBounded`, `gateway.TestOddPeersDoNotBlockHandOver`"},
	{"an instance gets more than its processor bears", "new connections", "`platform.TestOverloadedProcess`, `platform.TestLateInstancesDoNotHandOverToEachOther`"},
	{"a source of prompt parts is gone, cold, failing, forbidden or empty", "fetching a prefix", "`scheduler` (`prefixes_test.go`), `prefixindex`"},
	{"a target crashes, and the copy is missing, unreachable or does not fit", "a stream with a copy", "`platform` (`run_backup_test.go`)"},
	{"a region is lost", "new sends", "`platform.TestNewSendsToLostRegionEnd`"},
	{"the wall clock jumps", "ages, estimates, deadlines", "`scheduler.TestWallClockJumpChangesNoBelief`, `scheduler.TestDecisionsReadNoClock`"},
	{"an instance sends without end", "any answer to a caller", "`client.TestEndlessMessageIsNotKept`, `client.TestEndlessAnswerIsCutOff`"},
}

// notCovered lists the required cells that no test covers yet.
var notCovered = []string{
	"pairs of faults during a change of the fleet, and three faults at once",
	"a pause (stop and continue) of a whole instance at each step of a request: only single steps are tested, with real processes",
	"readers of the list that are stale to different degrees for longer than the hold-down, together with a partition between the same instances",
	"a partition between regions that lasts longer than a request's time limit",
	"a streamed answer whose connection between caller and entry breaks at each byte",
}

// page returns the text of the page. Every cell in it is a subtest of the same name.
func page() string {
	var b strings.Builder
	b.WriteString("# Fault matrix\n\n" +
		"Generated from the tables in `internal/faults` by\n" +
		"`go test ./internal/faults -run TestPage -update`; do not edit. Each cell is a subtest with a\n" +
		"fixed seed under virtual time, named FAULT/STEP. In each, whole instances run with stand-ins\n" +
		"over an in-memory network: three regions with two instances, two engines and one service each.\n\n" +
		"After each cell these hold: every answer that a caller got is that of its own request, byte for byte; every\n" +
		"failure has a typed outcome; no request reported as \"not run\" reached a target; no engine ran\n" +
		"more than its limit or, when cold, its cold limit (an engine that turns cold under load without\n" +
		"warning may get one request more before its next report); and new requests of every customer\n" +
		"are served within 30 s of the fault's end. Where the table says \"served\", the request that the\n" +
		"cell follows must get its complete answer despite the fault.\n\n")
	writeTable(&b)
	writePairs(&b)
	writeElsewhere(&b)
	return b.String()
}

func writeTable(b *strings.Builder) {
	cells := 0
	fmt.Fprintf(b, "## Faults at the steps of a request, of a non-repeatable call and of changes\n\n| fault |")
	var columns []string
	for _, s := range requestSteps {
		columns = append(columns, s.name)
	}
	for _, s := range callSteps {
		columns = append(columns, s.name)
	}
	for _, c := range fleetChanges {
		columns = append(columns, c.name)
	}
	fmt.Fprintf(b, " %s |\n|---|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	for _, f := range allFaults {
		fmt.Fprintf(b, "| %s |", f.name)
		for i := range columns {
			cells++
			if f.mustServe && i < len(requestSteps) {
				b.WriteString(" served |")
				continue
			}
			b.WriteString(" tested |")
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(b, "\n%d cells: `TestEveryFaultAtEveryStep`, `TestOnceCallsRunAtMostOnce`, `TestEveryFaultDuringEveryChange`.\n\n", cells)
}

func writePairs(b *strings.Builder) {
	pairs := faultPairs()
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
	b.WriteString("## Tested in other packages\n\n| fault | step | test |\n|---|---|---|\n")
	for _, row := range coveredElsewhere {
		fmt.Fprintf(b, "| %s | %s | %s |\n", row.fault, row.steps, row.proof)
	}
	fmt.Fprintf(b, "\n## Not tested yet\n\n%d groups of cells:\n\n", len(notCovered))
	for _, line := range notCovered {
		fmt.Fprintf(b, "- %s\n", line)
	}
}

// testName matches the test names in a page, such as `limit.TestColdLimitOfOne`.
var testName = regexp.MustCompile("`([a-z]+)\\.(Test[A-Za-z]+)`")

// TestPagesNameTests checks that every test named in the pages exists.
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

// testExists reports whether the test exists in the package with the given name.
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
		t.Error("docs/FAULTS.md differs from the tables; run with -update")
	}
}
