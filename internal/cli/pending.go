package cli

import (
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func RulesCommand(stdout, stderr io.Writer) *ffcli.Command { return &ffcli.Command{Name: "rules"} }
func SettingsCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{Name: "settings"}
}
