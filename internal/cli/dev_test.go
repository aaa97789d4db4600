package cli

import "testing"

func TestPrintfEnvelopeLength(t *testing.T) {
	message := `{"model":"appraise","prompt":"a","maxTokens":8}`
	if got, want := printfEnvelope(message), `\0\0\0\0\057`+message; len(message) != 0o57 || got != want {
		t.Errorf("printfEnvelope = %s, want %s", got, want)
	}
}
