package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/routers/wigeonoperator"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"
)

// ConfigPatchCommand submits a patch.
type ConfigPatchCommand struct {
	OperatorFlags
	File    string `arg:"" help:"JSON merge patch (RFC 7386), as JSON or, with the suffix .toml, as TOML; - reads JSON from the standard input."`
	Base    uint64 `required:"" help:"Version the patch was made against."`
	PatchID string `help:"Id of the patch, the same when it is sent again; default is a fresh one."`
	DryRun  bool   `help:"Check the patch and change nothing."`
	JSON    bool   `help:"Print JSON."`
}

// Run submits the patch.
func (c *ConfigPatchCommand) Run(s Streams) error {
	document, err := readDocument(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	id := patchID(c.PatchID)
	answer, err := client.Patch(wigeonoperator.PatchBody{Base: c.Base, Patch: document, PatchID: id, DryRun: c.DryRun})
	return printAccepted(s, c.JSON, id, answer, err)
}

// ConfigRollbackCommand makes an old version's content the newest.
type ConfigRollbackCommand struct {
	OperatorFlags
	Target  uint64 `arg:"" help:"Version whose content comes back."`
	Base    uint64 `required:"" help:"Newest version, as the operator knows it."`
	PatchID string `help:"Id of the patch, the same when it is sent again; default is a fresh one."`
	JSON    bool   `help:"Print JSON."`
}

// Run rolls back.
func (c *ConfigRollbackCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	id := patchID(c.PatchID)
	answer, err := client.Rollback(wigeonoperator.RollbackBody{Base: c.Base, Target: c.Target, PatchID: id})
	return printAccepted(s, c.JSON, id, answer, err)
}

func patchID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

// printAccepted prints the answer to a patch. Without an answer the operator learns how to find out.
func printAccepted(s Streams, asJSON bool, id string, a wigeonoperator.AcceptedBody, err error) error {
	var ce *wigeonoperator.CallError
	switch {
	case errors.As(err, &ce) && ce.Body.Reason != wigeonoperator.ReasonOutcomeUnknown:
		return explain(err)
	case errors.Is(err, wigeonoperator.ErrNotSent):
		return fmt.Errorf("%w\nnothing was changed", err)
	case err != nil:
		return fmt.Errorf("%w\nthe patch may be accepted or not: send it again with --patch-id %s to find out", err, id)
	case asJSON:
		return printJSON(s.Out, a)
	case a.DryRun:
		_, err = fmt.Fprintf(s.Out, "valid; would become version %d\n", a.Version)
	default:
		_, err = fmt.Fprintf(s.Out, "accepted as version %d\n", a.Version)
	}
	return err
}

// ConfigValidateCommand checks files offline.
type ConfigValidateCommand struct {
	File    string `arg:"" help:"Patch or configuration, as JSON or TOML; - reads JSON from the standard input."`
	Against string `type:"existingfile" help:"Configuration that the patch is made against, as config show prints it; default is an empty one."`
}

// Run checks the file.
func (c *ConfigValidateCommand) Run(s Streams) error {
	document, err := readDocument(c.File)
	if err != nil {
		return err
	}
	base := &wigeonshift.Configuration{}
	if c.Against != "" {
		text, err := os.ReadFile(c.Against)
		if err != nil {
			return errors.Join(errUsage, err)
		}
		if base, err = wigeonconfig.Decode(text); err != nil {
			return fmt.Errorf("%s: %w", c.Against, err)
		}
	} else if document, err = withoutVersion(document); err != nil {
		return err
	}
	next, err := wigeonconfig.Apply(base, document)
	if err == nil {
		err = wigeonconfig.Check(next)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	_, err = fmt.Fprintln(s.Out, "valid")
	return err
}

// withoutVersion lets a whole configuration, as config show prints it, pass as a patch on an empty one.
func withoutVersion(document json.RawMessage) (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(document, &fields); err != nil {
		// Apply names the fault.
		return document, nil
	}
	delete(fields, "version")
	return json.Marshal(fields)
}

// ConfigKeygenCommand makes a key.
type ConfigKeygenCommand struct {
	Operator string `help:"Make an operator's key under this name, for the node's settings, instead of a caller's key."`
	Role     string `default:"viewer" enum:"viewer,editor" help:"Role of an operator's key."`
	JSON     bool   `help:"Print JSON."`
}

// generatedKey is what keygen prints as JSON.
type generatedKey struct {
	// Key is what the caller or operator presents; it is stored nowhere.
	Key    string             `json:"key"`
	ID     string             `json:"id"`
	Stored wigeonshift.APIKey `json:"stored"`
}

// Run prints the key and its stored form.
func (c *ConfigKeygenCommand) Run(s Streams) error {
	id, secret, stored := wigeonconfig.GenerateAPIKey()
	if c.Operator != "" {
		if strings.Contains(c.Operator, ".") {
			return fmt.Errorf("%w: an operator's name has no dot", errUsage)
		}
		id = c.Operator
	}
	k := generatedKey{Key: wigeonconfig.FormatAPIKey(id, secret), ID: id, Stored: stored}
	if c.JSON {
		return printJSON(s.Out, k)
	}
	fmt.Fprintf(s.Out, "key, shown only this once:\n  %s\n", k.Key)
	if c.Operator != "" {
		_, err := fmt.Fprintf(s.Out, "for the settings of every node:\n[[operator.keys]]\nname = %q\nrole = %q\nsalt = %q\nhash = %q\n",
			id, c.Role, stored.Salt, stored.Hash)
		return err
	}
	_, err := fmt.Fprintf(s.Out, "for \"apiKeys\" of the organisation:\n  %q: {\"salt\": %q, \"hash\": %q}\n", id, stored.Salt, stored.Hash)
	return err
}

// readDocument reads a patch as JSON.
func readDocument(path string) (json.RawMessage, error) {
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, errors.Join(errUsage, err)
	}
	if strings.HasSuffix(path, ".toml") {
		var document map[string]any
		if err := toml.Unmarshal(text, &document); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errUsage, path, err)
		}
		return json.Marshal(document)
	}
	var document json.RawMessage
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("%w: %s is not valid JSON: %w", errUsage, path, err)
	}
	return document, nil
}
