package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/instance"
)

// statusTimeout is the timeout of the status request to the instance.
const statusTimeout = 5 * time.Second

// StatusCommand returns the "status" command, which prints one instance's view of itself
// and the fleet.
func StatusCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("medlarwind status", stderr)
	addr := flags.String("addr", "", "operator address (IP:PORT) of an instance")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "medlarwind status -addr IP:PORT [-json]",
		ShortHelp:  "show an instance's view of the fleet",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if *addr == "" {
				return &UsageError{errors.New("status: -addr is missing")}
			}
			status, err := fetchStatus(ctx, *addr)
			if err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(stdout).Encode(status)
			}
			return printStatus(stdout, status)
		},
	}
}

func fetchStatus(ctx context.Context, addr string) (instance.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status instance.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+instance.PathStatus, nil)
	if err != nil {
		return status, &UsageError{errors.Wrap(err, "status")}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, errors.Wrap(err, "status")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, errors.Errorf("status: %s responded with %s", addr, response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&status)
	return status, errors.Wrap(err, "status")
}

func printStatus(w io.Writer, s instance.Status) error {
	fmt.Fprintf(w, "instance %s (%s) in %s: ready %t, draining %t, %d waiting, %d running\n",
		s.Instance, s.Incarnation, s.DataCentre, s.Ready, s.Draining, s.Waiting, s.Running)
	fmt.Fprintf(w, "configuration %d %s, list %d, out of service %v\n\n",
		s.ConfigVersion, s.ConfigDigest, s.ListVersion, s.OutOfService)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TARGET\tOWNER\tSTATE\tLIMIT\tUSABLE\tACCOUNTED\tFOREIGN\tOUT")
	for _, r := range s.Targets {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%t\n",
			r.Target, r.Owner, r.State, r.Limit, r.Usable, r.Accounted, r.Foreign, r.Out)
	}
	fmt.Fprintln(t, "\nCUSTOMER\tSHARE\tSERVICE\tHERE\tVIRTUAL TIME\tBACKLOGGED")
	for _, r := range s.Customers {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%t\n",
			r.Customer, r.Share, r.Total, r.Own, r.VirtualTime, r.Backlogged)
	}
	fmt.Fprintln(t, "\nPEER\tDATA CENTRE\tCONNECTED\tLEAVING")
	for _, r := range s.Peers {
		fmt.Fprintf(t, "%s\t%s\t%t\t%t\n", r.Instance, r.DataCentre, r.Connected, r.Leaving)
	}
	fmt.Fprintln(t, "\nORDER\tNAME\tTARGET\tSTATE")
	for _, r := range s.Orders {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", r.Kind, r.Name, r.Target, r.State)
	}
	return t.Flush()
}
