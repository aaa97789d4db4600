package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/settings"
)

// TestFileCommands runs the commands on valid and invalid files and checks the exit code
// and the output.
func TestFileCommands(t *testing.T) {
	directory := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	packed, err := rules.Encode([]byte("model tag input 1  output 4 # Wu\n"))
	if err != nil {
		t.Fatal(err)
	}
	old := file("old", "model tag input 1  output 2 # Wu\n")
	next := file("next.gz", string(packed))
	bad := file("bad", "model tag\nmodel\n")
	good := file("good.jsonc", settings.Example())
	broken := file("broken.jsonc", `{"instance": 1}`)
	tests := []struct {
		args   string
		code   int
		stdout string
		stderr string
	}{
		{"rules check " + old, ExitOK, "is valid: 0 customers, 0 data centres (0 out), 1 models", ""},
		{"rules check " + bad, ExitUsage, "", bad + ":1:10: want \"input\""},
		{"rules check " + bad, ExitUsage, "", "bad is refused: 4 faults"},
		{"rules check " + filepath.Join(directory, "none"), ExitUsage, "", "no such file"},
		{"rules check", ExitUsage, "", "usage: medlarwind rules check FILE"},
		{"rules diff " + old + " " + next, ExitOK, "changed model tag: output 2 -> 4; 0 targets serve it (comment unchanged: Wu)\n1 rules differ\n", ""},
		{"rules diff " + old + " " + bad, ExitUsage, "", "bad:2:6: the name of the model is missing"},
		{"rules fmt " + next, ExitOK, "model tag input 1 output 4 # Wu\n", ""},
		{"settings check " + good, ExitOK, "is valid: instance tw-north-1 in tw-north", ""},
		{"settings check " + broken, ExitUsage, "", broken + ":1:1: region is missing"},
		{"settings example", ExitOK, settings.Example(), ""},
		{"rules burn", ExitUsage, "", `unknown subcommand "burn"`},
	}
	for _, test := range tests {
		var stdout, stderr bytes.Buffer
		code := Run(t.Context(), strings.Fields(test.args), &stdout, &stderr)
		if code != test.code || !strings.Contains(stdout.String(), test.stdout) || !strings.Contains(stderr.String(), test.stderr) {
			t.Errorf("%s: code %d, want %d\n%s%s", test.args, code, test.code, stdout.String(), stderr.String())
		}
	}
}
