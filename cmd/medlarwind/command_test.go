//go:build linux

package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"medlarwind.dev/medlarwind/internal/settings"
)

// Invalid input files must end a command with exit code 2 and one error that names the
// file or place of the error, and without output.
func TestInvalidFilesPrintOneErrorAndExitTwo(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	bad := file("settings.jsonc", strings.Replace(settings.Example(), `"peer_timeout": "2s"`, `"peer_timeout": "2h"`, 1))
	syntax := file("syntax.jsonc", `{"instance": `)
	badRules := file("rules", "customer mill-a share 0 queue 4 key sha256:00 # Wu\n")
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"setting out of range", []string{"serve", "-settings", bad}, bad + ":32:18: peer_timeout"},
		{"syntax", []string{"serve", "-settings", syntax}, syntax + ":1:"},
		{"missing settings file", []string{"serve", "-settings", filepath.Join(dir, "none")}, "no such file"},
		{"settings check", []string{"settings", "check", bad}, "is refused: "},
		{"rules check", []string{"rules", "check", badRules}, badRules + ":1:"},
		{"rules diff", []string{"rules", "diff", badRules, badRules}, badRules + ":1:"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := runToEnd(t, test.args...)
			if code != 2 || stdout != "" || !strings.Contains(stderr, test.want) {
				t.Errorf("exit code %d, output %q, errors:\n%s\nwant exit code 2, no output and an error with %q", code, stdout, stderr, test.want)
			}
			if n := strings.Count(stderr, "medlarwind: "); n != 1 {
				t.Errorf("%d errors, want 1:\n%s", n, stderr)
			}
		})
	}
}

// The last line of "dev -json" must be one JSON object in which every request is either
// completed or refused.
func TestDevPrintsOneJSONObject(t *testing.T) {
	code, stdout, stderr := runToEnd(t, "dev", "-json")
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	var summary struct {
		Requests, Whole, Refused, Broken int
	}
	err := json.Unmarshal([]byte(lines[len(lines)-1]), &summary)
	if code != 0 || err != nil {
		t.Fatalf("exit code %d, error %v\n%s%s", code, err, stdout, stderr)
	}
	if summary.Requests == 0 || summary.Whole+summary.Refused != summary.Requests || summary.Broken != 0 {
		t.Errorf("%+v", summary)
	}
}
