package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"

	"lilacvane/internal/api"
	"lilacvane/internal/commandline"
	"lilacvane/internal/fault"
	"lilacvane/internal/operator"
	"lilacvane/internal/wire"
)

const stepArguments = "read arguments"

func (t target) client() *operator.Client { return operator.NewClient(t.Server) }

// print writes the value as JSON, or as a table by calling table with a tab writer.
func (t target) print(s commandline.Streams, value any, table func(io.Writer)) error {
	if t.Output == "json" {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	table(writer)
	return writer.Flush()
}

// author returns the name that the history records for the operator.
func author() string {
	current, err := user.Current()
	if err != nil {
		return "operator"
	}
	return current.Username
}

type applyCommand struct {
	target
	File      []string `short:"f" required:"" help:"Files with objects; - for standard input."`
	Operation string   `help:"Operation id; the same id asked again gives the first result."`
	DryRun    bool     `help:"Check only."`
}

// Run applies the objects of all files in one operation. For an object without a
// generation, it reads the current generation first.
func (c *applyCommand) Run(s commandline.Streams) error {
	ctx := context.Background()
	submission := operator.Submission{Operation: operationID(c.Operation), Author: author(), DryRun: c.DryRun}
	for _, file := range c.File {
		objects, err := readObjects(file)
		if err != nil {
			return err
		}
		submission.Apply = append(submission.Apply, objects...)
	}
	for index := range submission.Apply {
		if err := fillGeneration(ctx, c.client(), &submission.Apply[index]); err != nil {
			return err
		}
	}
	return submit(ctx, c.target, s, submission)
}

func operationID(given string) string {
	if given != "" {
		return given
	}
	return "cli-" + rand.Text()
}

func submit(ctx context.Context, t target, s commandline.Streams, submission operator.Submission) error {
	result, err := t.client().Submit(ctx, submission)
	if err != nil {
		if fault.OutcomeOf(err) == fault.Unknown {
			fmt.Fprintf(s.Errors, "the outcome is unknown; ask: lilacvane operation %s\n", submission.Operation)
		}
		return err
	}
	return t.print(s, result, func(w io.Writer) {
		if submission.DryRun {
			fmt.Fprintln(w, "valid, nothing was changed")
			return
		}
		fmt.Fprintf(w, "accepted at revision %d (operation %s)\n", result.Revision, result.Operation)
	})
}

// readObjects reads the objects in a YAML or JSON file, one per document.
func readObjects(path string) ([]api.Object, error) {
	const step = "read objects"
	content, err := readFile(path)
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, step, "%v", err)
	}
	var objects []api.Object
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var document struct {
			Kind       api.Kind  `yaml:"kind"`
			Name       string    `yaml:"name"`
			Generation uint64    `yaml:"generation"`
			Spec       yaml.Node `yaml:"spec"`
		}
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return objects, nil
		}
		if err != nil {
			return nil, fault.New(fault.CodeInvalid, step, "%s: %v", path, err)
		}
		var spec any
		if err := document.Spec.Decode(&spec); err != nil {
			return nil, fault.New(fault.CodeInvalid, step, "%s: %v", path, err)
		}
		encoded, err := json.Marshal(spec)
		if err != nil {
			return nil, fault.New(fault.CodeInvalid, step, "%s: line %d: %v", path, document.Spec.Line, err)
		}
		objects = append(objects, api.Object{Kind: document.Kind, Name: document.Name, Generation: document.Generation, Spec: encoded})
	}
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// fillGeneration sets the generation of an object that has none to the current one, if
// the object exists.
func fillGeneration(ctx context.Context, client *operator.Client, object *api.Object) error {
	if object.Generation != 0 {
		return nil
	}
	current, err := client.Get(ctx, object.Kind, object.Name)
	if fault.IsCode(err, fault.CodeNotFound) {
		return nil
	}
	object.Generation = current.Generation
	return err
}

type getCommand struct {
	target
	Kind string `arg:"" help:"Model, Version, Adapter, Policy, Drain, Service, Route or Tenant; zones or runners."`
	Name string `arg:"" optional:"" help:"Name; all of the kind without one."`
	Cold bool   `help:"Only runners that are cold."`
}

// Run prints objects, zones or runners.
func (c *getCommand) Run(s commandline.Streams) error {
	switch kind := singular(c.Kind); {
	case kind == "runner":
		return c.runners(s)
	case c.Cold:
		return fault.New(fault.CodeInvalid, stepArguments, "--cold: goes with runners, not with %q", c.Kind)
	case kind == "zone":
		return c.zones(s)
	default:
		return c.objects(s)
	}
}

func (c *getCommand) objects(s commandline.Streams) error {
	objects, err := c.read()
	if err != nil {
		return err
	}
	return c.print(s, objects, func(w io.Writer) {
		fmt.Fprintln(w, "KIND\tNAME\tGENERATION\tSPEC")
		for _, object := range objects {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", object.Kind, object.Name, object.Generation, object.Spec)
		}
	})
}

func (c *getCommand) read() ([]api.Object, error) {
	kind, err := parseKind(c.Kind)
	if err != nil {
		return nil, err
	}
	if c.Name == "" {
		return c.client().List(context.Background(), kind)
	}
	object, err := c.client().Get(context.Background(), kind, c.Name)
	return []api.Object{object}, err
}

// parseKind parses a kind, ignoring case and a plural s.
func parseKind(text string) (api.Kind, error) {
	for _, kind := range api.Kinds {
		if singular(text) == strings.ToLower(string(kind)) {
			return kind, nil
		}
	}
	return "", fault.New(fault.CodeInvalid, stepArguments, "unknown kind %q", text)
}

// singular returns a kind in lower case and without a plural s.
func singular(kind string) string { return strings.TrimSuffix(strings.ToLower(kind), "s") }

type deleteCommand struct {
	target
	Kind       string `arg:"" help:"Kind."`
	Name       string `arg:"" help:"Name."`
	Generation uint64 `help:"Generation you saw; without it the one in force."`
	Operation  string `help:"Operation id."`
}

// Run deletes an object.
func (c *deleteCommand) Run(s commandline.Streams) error {
	kind, err := parseKind(c.Kind)
	if err != nil {
		return err
	}
	ctx := context.Background()
	object := api.Object{Kind: kind, Name: c.Name, Generation: c.Generation}
	if c.Generation == 0 {
		current, err := c.client().Get(ctx, kind, c.Name)
		if err != nil {
			return err
		}
		object.Generation = current.Generation
	}
	submission := operator.Submission{Operation: operationID(c.Operation), Author: author(), Delete: []api.Object{object}}
	return submit(ctx, c.target, s, submission)
}

type historyCommand struct {
	target
	Kind string `arg:"" help:"Kind."`
	Name string `arg:"" optional:"" help:"Name; all of the kind without one."`
}

// Run prints the history.
func (c *historyCommand) Run(s commandline.Streams) error {
	kind, err := parseKind(c.Kind)
	if err != nil {
		return err
	}
	entries, err := c.client().History(context.Background(), kind, c.Name)
	if err != nil {
		return err
	}
	return c.print(s, entries, func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tOPERATION\tCHANGE")
		for _, entry := range entries {
			printEntry(w, entry)
		}
	})
}

func printEntry(w io.Writer, entry wire.Entry) {
	for _, change := range entry.Changes {
		detail := string(change.Object.Spec)
		if change.Deleted {
			detail = "deleted"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s %s\n", entry.Revision, entry.Time.Format("2006-01-02T15:04:05Z07:00"), entry.Author, entry.Operation, change.Object.Key(), detail)
	}
}

type watchCommand struct {
	target
	After uint64 `help:"Revision after which to begin."`
}

// Run prints changes until it is interrupted.
func (c *watchCommand) Run(s commandline.Streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := c.client().Watch(ctx, c.After, func(entry wire.Entry) error {
		return c.print(s, entry, func(w io.Writer) { printEntry(w, entry) })
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type askCommand struct {
	target
	ID string `arg:"" help:"Operation id."`
}

// Run prints the result of an operation.
func (c *askCommand) Run(s commandline.Streams) error {
	result, err := c.client().Operation(context.Background(), c.ID)
	if err != nil {
		return err
	}
	return c.print(s, result, func(w io.Writer) {
		fmt.Fprintf(w, "accepted at revision %d\n", result.Revision)
	})
}
