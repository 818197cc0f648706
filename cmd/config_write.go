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

// ConfigPatchCommand submits a merge patch of the configuration.
type ConfigPatchCommand struct {
	OperatorFlags
	File    string `arg:"" help:"JSON merge patch (RFC 7386), as JSON or, with the suffix .toml, as TOML; - reads JSON from standard input."`
	Base    uint64 `required:"" help:"Version that the patch is based on."`
	PatchID string `help:"Id of the patch; reuse it to resend the same patch. Defaults to a new random id."`
	DryRun  bool   `help:"Validate the patch without applying it."`
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
	id := patchIDOrNew(c.PatchID)
	response, err := client.Patch(wigeonoperator.PatchBody{Base: c.Base, Patch: document, PatchID: id, DryRun: c.DryRun})
	return printPatchResult(s, c.JSON, id, response, err)
}

// ConfigRollbackCommand creates a new version with the content of an earlier one.
type ConfigRollbackCommand struct {
	OperatorFlags
	Target  uint64 `arg:"" help:"Version whose content is restored."`
	Base    uint64 `required:"" help:"Newest version that you know of; the rollback is rejected if there is a newer one."`
	PatchID string `help:"Id of the patch; reuse it to resend the same patch. Defaults to a new random id."`
	JSON    bool   `help:"Print JSON."`
}

// Run submits the rollback.
func (c *ConfigRollbackCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	id := patchIDOrNew(c.PatchID)
	response, err := client.Rollback(wigeonoperator.RollbackBody{Base: c.Base, Target: c.Target, PatchID: id})
	return printPatchResult(s, c.JSON, id, response, err)
}

// patchIDOrNew returns the given patch id, or a new random one if it is empty.
func patchIDOrNew(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

// printPatchResult prints the result of a patch or rollback. If the outcome is unknown, the error tells the operator how
// to resend the patch to find it out.
func printPatchResult(s Streams, asJSON bool, id string, accepted wigeonoperator.AcceptedBody, err error) error {
	var callErr *wigeonoperator.CallError
	switch {
	case errors.As(err, &callErr) && callErr.Body.Reason != wigeonoperator.ReasonOutcomeUnknown:
		return describeCallError(err)
	case errors.Is(err, wigeonoperator.ErrNotSent):
		return fmt.Errorf("%w\nnothing was changed", err)
	case err != nil:
		return fmt.Errorf("%w\nthe outcome of the patch is unknown: resend it with --patch-id %s to find out", err, id)
	case asJSON:
		return printJSON(s.Out, accepted)
	case accepted.DryRun:
		_, err = fmt.Fprintf(s.Out, "valid; would become version %d\n", accepted.Version)
	default:
		_, err = fmt.Fprintf(s.Out, "accepted as version %d\n", accepted.Version)
	}
	return err
}

// ConfigValidateCommand checks a patch or configuration file without an instance.
type ConfigValidateCommand struct {
	File    string `arg:"" help:"Patch or configuration, as JSON or, with the suffix .toml, as TOML; - reads JSON from standard input."`
	Against string `type:"existingfile" help:"Configuration that the patch applies to, as printed by config show; defaults to an empty one."`
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
	} else if document, err = removeVersionField(document); err != nil {
		return err
	}
	patched, err := wigeonconfig.Apply(base, document)
	if err == nil {
		err = wigeonconfig.Check(patched)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	_, err = fmt.Fprintln(s.Out, "valid")
	return err
}

// removeVersionField removes the top-level version, which a patch must not set. A complete configuration, as printed by
// config show, can then be validated as a patch of an empty one.
func removeVersionField(document json.RawMessage) (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(document, &fields); err != nil {
		// wigeonconfig.Apply reports the error.
		return document, nil
	}
	delete(fields, "version")
	return json.Marshal(fields)
}

// ConfigKeygenCommand generates an API key.
type ConfigKeygenCommand struct {
	Operator string `help:"Generate an operator key with this name, for the nodes' settings, instead of a caller key."`
	Role     string `default:"viewer" enum:"viewer,editor" help:"Role of the operator key."`
	JSON     bool   `help:"Print JSON."`
}

// generatedKey is the JSON output of config keygen.
type generatedKey struct {
	// Key is the complete key that a caller or operator presents. It is not stored anywhere.
	Key    string             `json:"key"`
	ID     string             `json:"id"`
	Stored wigeonshift.APIKey `json:"stored"`
}

// Run prints the key and its stored form.
func (c *ConfigKeygenCommand) Run(s Streams) error {
	id, secret, stored := wigeonconfig.GenerateAPIKey()
	if c.Operator != "" {
		if strings.Contains(c.Operator, ".") {
			return fmt.Errorf("%w: an operator name must not contain a dot", errUsage)
		}
		id = c.Operator
	}
	k := generatedKey{Key: wigeonconfig.FormatAPIKey(id, secret), ID: id, Stored: stored}
	if c.JSON {
		return printJSON(s.Out, k)
	}
	fmt.Fprintf(s.Out, "key, shown only this once:\n  %s\n", k.Key)
	if c.Operator != "" {
		_, err := fmt.Fprintf(s.Out, "add to the settings of every node:\n[[operator.keys]]\nname = %q\nrole = %q\nsalt = %q\nhash = %q\n",
			id, c.Role, stored.Salt, stored.Hash)
		return err
	}
	_, err := fmt.Fprintf(s.Out, "add to \"apiKeys\" of the organisation:\n  %q: {\"salt\": %q, \"hash\": %q}\n", id, stored.Salt, stored.Hash)
	return err
}

// readDocument reads a JSON or TOML file, or JSON from standard input if the path is "-", and returns it as JSON.
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
