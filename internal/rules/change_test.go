package rules

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestDiff guards against changes that are missing, in the wrong order or misdescribed.
func TestDiff(t *testing.T) {
	replace := strings.NewReplacer(
		"share 3 queue 64", "share 5 queue 64",
		"tw-north region taiwan in # Lin", "tw-north region taiwan out # Lin, flood",
		"order role prefill on tw-e1 # Wu", "order role decode on tw-e1 # Wu",
		"output 2 # Wu", "output 2 # Wu, again",
	)
	old, err := Parse([]byte(validRules))
	if err != nil {
		t.Fatal(err)
	}
	next, err := Parse([]byte(replace.Replace(validRules)))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, change := range Diff(old, next) {
		got = append(got, change.String())
	}
	want := []string{
		"changed datacentre tw-north: service in -> out; 2 targets there (asked for by Lin, flood; before: Lin)",
		"changed customer mill-a: share 3 -> 5 (comment unchanged: Chen)",
		"changed model tag (asked for by Wu, again; before: Wu)",
		"added order role decode on tw-e1 (asked for by Wu)",
		"removed order role prefill on tw-e1 (the removed rule was asked for by Wu)",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("Diff() =\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// checkFormat checks that formatting keeps the meaning of a document, and that
// formatting it again changes nothing.
func checkFormat(t *testing.T, text []byte, document *Document) {
	t.Helper()
	formatted, err := Format(text)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(formatted)
	if err != nil {
		t.Fatalf("Parse() of the formatted document: %v", err)
	}
	if changes := Diff(document, again); changes != nil {
		t.Fatalf("formatting changed the rules: %v", changes)
	}
	if twice, _ := Format(formatted); !bytes.Equal(twice, formatted) {
		t.Fatalf("formatting twice changes the text:\n%q\n%q", formatted, twice)
	}
}

// TestFormat guards against lost comments and against spacing that is not canonical.
func TestFormat(t *testing.T) {
	text := "\n\n  ## A\theading \r\n\n\n\tmodel   tag input 1\toutput 2    #Wu # twice\n"
	got, err := Format([]byte(text))
	want := "## A\theading\n\nmodel tag input 1 output 2 # Wu # twice\n"
	if err != nil || string(got) != want {
		t.Errorf("Format() = %q, %v, want %q", got, err, want)
	}
	if _, err := Format([]byte("model\n")); err == nil {
		t.Error("Format() of an invalid document returned no error")
	}
}

// TestDecode guards against a truncated value that is accepted, and against a small
// compressed value that expands beyond MaxTextBytes.
func TestDecode(t *testing.T) {
	compressed, err := Encode([]byte(validRules))
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range [][]byte{compressed, []byte(validRules)} {
		if text, err := Decode(value); err != nil || string(text) != validRules {
			t.Errorf("Decode() = %d bytes, error = %v, want the original text", len(text), err)
		}
	}
	if _, err := Decode(compressed[:len(compressed)/2]); err == nil {
		t.Error("Decode() of a truncated value returned no error")
	}
	var bomb bytes.Buffer
	writer := gzip.NewWriter(&bomb)
	for range MaxTextBytes/(1<<20) + 1 {
		writer.Write(make([]byte, 1<<20))
	}
	writer.Close()
	if _, err := Decode(bomb.Bytes()); !errors.Is(err, ErrTooLong) {
		t.Errorf("Decode() of a gzip bomb of %d bytes: error = %v, want ErrTooLong", bomb.Len(), err)
	}
}

// FuzzParse checks that every text is either parsed to a document that formatting
// preserves, or refused with errors whose positions are inside the text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validRules))
	f.Add([]byte("model tag input 1 output 1 #\xff\n\x00"))
	f.Add([]byte("target a datacentre b serves ,c limit 1 cold"))
	f.Add([]byte("customer a share 99999999999999999999 # b\r\r\n"))
	f.Add([]byte("call a..b once cost 1 # x\norder role b on c # y"))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Parse(text)
		if err == nil {
			checkFormat(t, text, document)
			return
		}
		var faults *Errors
		if !errors.As(err, &faults) || len(faults.List) == 0 {
			t.Fatalf("Parse() error = %#v, want *Errors", err)
		}
		lines := bytes.Split(text, []byte("\n"))
		for _, fault := range faults.List {
			if fault.Line < 1 || fault.Line > len(lines) || fault.Column < 1 || fault.Column > len(lines[fault.Line-1])+1 {
				t.Fatalf("position of error %v is outside the text", fault)
			}
		}
	})
}
