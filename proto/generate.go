// Package proto holds the callers' interface definition. Its generated code is
// committed below gen/.
package proto

//go:generate go tool -modfile=../tools/go.mod buf generate
