// Package where holds the question where a request would go, asked of one running instance, and the answer.
package where

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Path is the path of the question on the operators' address.
const Path = "/debug/where"

// Limits of a question. They are far above what callers send and bound the work of one question.
const (
	MaxBody     = 64 << 10
	maxText     = 1024
	maxParts    = 256
	maxTokens   = 10_000_000
	maxMillis   = 3_600_000
	unknownText = "json: unknown field "
)

// Part is a section of the prompt that other requests may share.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Question describes a request that is not sent.
type Question struct {
	// ID stands for the caller's id of the request. It takes part in the draw among targets and services.
	ID string `json:"id,omitempty"`
	// Customer is empty for a request without a key.
	Customer fleet.CustomerID `json:"customer,omitempty"`
	Host     string           `json:"host"`
	Path     string           `json:"path"`
	// PromptTokens and OutputTokens are 0 for calls to plain services. OutputTokens is the expected number.
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
	Parts        []Part `json:"parts,omitempty"`
	// BudgetMillis is how long the caller still waits, 0 for as long as its route allows. ElapsedMillis is the time since
	// the caller's first attempt; without it that is estimated from the budget, as for a request.
	ElapsedMillis int `json:"elapsed_ms,omitempty"`
	BudgetMillis  int `json:"budget_ms,omitempty"`
}

// FieldError is a bad value of a field of a question.
type FieldError struct{ Field, Problem string }

// Error returns the field's name and what is wrong.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Decode reads a question as JSON without checking its values. A bad field gives a *FieldError.
func Decode(r io.Reader) (Question, error) {
	var q Question
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	err := d.Decode(&q)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return q, &FieldError{Field: fieldOr(wrongType.Field), Problem: "is a " + wrongType.Value + ", want " + wrongType.Type.String()}
	case err != nil && strings.HasPrefix(err.Error(), unknownText):
		return q, &FieldError{Field: strings.Trim(strings.TrimPrefix(err.Error(), unknownText), `"`), Problem: "unknown field"}
	case err != nil:
		return q, errors.Wrap(err, "body")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return q, &FieldError{Field: "body", Problem: "has more than one value"}
	}
	return q, nil
}

func fieldOr(field string) string {
	if field == "" {
		return "body"
	}
	return field
}

// Check returns a *FieldError for the first bad value.
func (q *Question) Check() error {
	for _, f := range []struct{ name, value string }{
		{"id", q.ID}, {"customer", string(q.Customer)}, {"host", q.Host}, {"path", q.Path},
	} {
		if len(f.value) > maxText {
			return &FieldError{f.name, fmt.Sprintf("has %d bytes, at most %d", len(f.value), maxText)}
		}
	}
	switch {
	case q.Host == "":
		return &FieldError{"host", "is missing"}
	case !strings.HasPrefix(q.Path, "/"):
		return &FieldError{"path", "must begin with a slash"}
	}
	for _, f := range []struct {
		name        string
		value, most int
	}{
		{"prompt_tokens", q.PromptTokens, maxTokens}, {"output_tokens", q.OutputTokens, maxTokens},
		{"elapsed_ms", q.ElapsedMillis, maxMillis}, {"budget_ms", q.BudgetMillis, maxMillis},
	} {
		if f.value < 0 || f.value > f.most {
			return &FieldError{f.name, fmt.Sprintf("is %d, want 0 to %d", f.value, f.most)}
		}
	}
	return q.checkParts()
}

func (q *Question) checkParts() error {
	if len(q.Parts) > maxParts {
		return &FieldError{"parts", fmt.Sprintf("are %d, at most %d", len(q.Parts), maxParts)}
	}
	sum := 0
	for i, p := range q.Parts {
		field := fmt.Sprintf("parts[%d]", i)
		switch {
		case p.ID == "" || len(p.ID) > maxText:
			return &FieldError{field + ".id", fmt.Sprintf("has %d bytes, want 1 to %d", len(p.ID), maxText)}
		case p.Tokens <= 0 || p.Tokens > maxTokens:
			return &FieldError{field + ".tokens", fmt.Sprintf("is %d, want 1 to %d", p.Tokens, maxTokens)}
		}
		sum += p.Tokens
	}
	if sum > q.PromptTokens {
		return &FieldError{"parts", fmt.Sprintf("have %d tokens, prompt_tokens is %d", sum, q.PromptTokens)}
	}
	return nil
}
