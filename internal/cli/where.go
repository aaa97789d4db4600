package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/where"
)

// maxErrorText bounds what is read of an error that an instance answers.
const maxErrorText = 4 << 10

// WhereCommand returns the "where" command, which asks an instance where a request would go.
func WhereCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("medlarwind where", stderr)
	addr := flags.String("addr", "", "operator address (IP:PORT) of an instance")
	asJSON := flags.Bool("json", false, "print JSON")
	var asked where.Question
	flags.StringVar((*string)(&asked.Customer), "customer", "", "name of the customer, empty for a request without a key")
	flags.StringVar(&asked.Host, "host", "", "host of the request")
	flags.StringVar(&asked.Path, "path", "", "path of the request")
	flags.StringVar(&asked.ID, "id", "", "id of the request, which takes part in draws")
	flags.IntVar(&asked.PromptTokens, "prompt", 0, "prompt tokens")
	flags.IntVar(&asked.OutputTokens, "output", 0, "expected output tokens")
	flags.IntVar(&asked.ElapsedMillis, "elapsed", 0, "milliseconds since the caller's first attempt")
	flags.IntVar(&asked.BudgetMillis, "budget", 0, "milliseconds for which the caller still waits")
	parts := flags.String("parts", "", "parts of the prompt as ID:TOKENS,...")
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: "medlarwind where -addr IP:PORT [-json] [-customer NAME -host HOST -path PATH -prompt N -output N -parts ID:N,...] [FILE]",
		ShortHelp:  "show where a request would go now and why, without sending it",
		LongHelp: "Asks one running instance on its operators' address. FILE holds the request as JSON (- for standard input); flags replace its fields.\n" +
			"docs/operators/where.md describes the fields and the answer.",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if *addr == "" {
				return &UsageError{errors.New("where: -addr is missing")}
			}
			q, err := readQuestion(args)
			if err == nil {
				err = replaceAsked(&q, &asked, flags, *parts)
			}
			if err == nil {
				err = q.Check()
			}
			if err != nil {
				return &UsageError{errors.Wrap(err, "where")}
			}
			answer, err := askWhere(ctx, *addr, q)
			if err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(stdout).Encode(answer)
			}
			return answer.Print(stdout)
		},
	}
}

// readQuestion reads the file that the arguments name, if any.
func readQuestion(args []string) (where.Question, error) {
	switch {
	case len(args) == 0:
		return where.Question{}, nil
	case len(args) > 1:
		return where.Question{}, errors.New("more than one file")
	case args[0] == "-":
		return where.Decode(os.Stdin)
	}
	f, err := os.Open(args[0])
	if err != nil {
		return where.Question{}, err
	}
	defer f.Close()
	q, err := where.Decode(f)
	return q, errors.Wrap(err, args[0])
}

// replaceAsked replaces the fields of a question whose flags are set.
func replaceAsked(q, asked *where.Question, flags *flag.FlagSet, parts string) error {
	var err error
	flags.Visit(func(f *flag.Flag) {
		switch f.Name {
		case "customer":
			q.Customer = asked.Customer
		case "host":
			q.Host = asked.Host
		case "path":
			q.Path = asked.Path
		case "id":
			q.ID = asked.ID
		case "prompt":
			q.PromptTokens = asked.PromptTokens
		case "output":
			q.OutputTokens = asked.OutputTokens
		case "elapsed":
			q.ElapsedMillis = asked.ElapsedMillis
		case "budget":
			q.BudgetMillis = asked.BudgetMillis
		case "parts":
			q.Parts, err = parseParts(parts)
		}
	})
	return err
}

func parseParts(text string) ([]where.Part, error) {
	var parts []where.Part
	for piece := range strings.SplitSeq(text, ",") {
		i := strings.LastIndexByte(piece, ':')
		if i < 0 {
			return nil, &where.FieldError{Field: "parts", Problem: strconv.Quote(piece) + " is not ID:TOKENS"}
		}
		tokens, err := strconv.Atoi(piece[i+1:])
		if err != nil {
			return nil, &where.FieldError{Field: "parts", Problem: strconv.Quote(piece) + " has no whole number of tokens"}
		}
		parts = append(parts, where.Part{ID: piece[:i], Tokens: tokens})
	}
	return parts, nil
}

func askWhere(ctx context.Context, addr string, q where.Question) (where.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var answer where.Answer
	body, err := json.Marshal(q)
	if err != nil {
		return answer, errors.Wrap(err, "where")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+where.Path, bytes.NewReader(body))
	if err != nil {
		return answer, &UsageError{errors.Wrap(err, "where")}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, errors.Wrap(err, "where")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		err := errors.Errorf("where: %s responded with %s: %s", addr, response.Status, strings.TrimSpace(string(text)))
		if response.StatusCode == http.StatusBadRequest {
			return answer, &UsageError{err}
		}
		return answer, err
	}
	return answer, errors.Wrap(json.NewDecoder(response.Body).Decode(&answer), "where")
}
