package cmd

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"wigeonshift/internal/routers/wigeonoperator"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
)

// ConfigCommand groups the commands on the configuration.
type ConfigCommand struct {
	Show     ConfigShowCommand     `cmd:"" help:"Print the configuration in force, or an old version of it."`
	Patch    ConfigPatchCommand    `cmd:"" help:"Submit a patch against a version."`
	History  ConfigHistoryCommand  `cmd:"" help:"List accepted patches, oldest first."`
	Diff     ConfigDiffCommand     `cmd:"" help:"Print the merge patch from one version to another."`
	Rollback ConfigRollbackCommand `cmd:"" help:"Make a new version with the content of an old one."`
	Versions ConfigVersionsCommand `cmd:"" help:"List the version that each instance has in force."`
	Validate ConfigValidateCommand `cmd:"" help:"Check a patch or configuration file without an instance."`
	Keygen   ConfigKeygenCommand   `cmd:"" help:"Make a key for callers or operators; its secret is printed once."`
}

// OperatorFlags say which instance's operator API to call.
type OperatorFlags struct {
	Operator  string `default:"http://127.0.0.1:7200" env:"WIGEONSHIFT_OPERATOR" help:"Base URL of an instance's operator API."`
	Key       string `env:"WIGEONSHIFT_OPERATOR_KEY" help:"Operator key as NAME.SECRET. A flag is visible to other users of the machine: prefer the variable or --key-file."`
	KeyFile   string `type:"existingfile" env:"WIGEONSHIFT_OPERATOR_KEY_FILE" help:"File that holds the operator key."`
	Authority string `type:"existingfile" help:"PEM file with the certificates that sign the instance's."`
}

// client returns a client of the operator API.
func (f *OperatorFlags) client() (*wigeonoperator.Client, error) {
	key := f.Key
	if key == "" && f.KeyFile != "" {
		text, err := os.ReadFile(f.KeyFile)
		if err != nil {
			return nil, errors.Join(errUsage, err)
		}
		key = strings.TrimSpace(string(text))
	}
	if key == "" {
		return nil, fmt.Errorf("%w: an operator key is needed: --key-file, --key or WIGEONSHIFT_OPERATOR_KEY", errUsage)
	}
	if f.Authority == "" {
		return wigeonoperator.NewClient(f.Operator, key), nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errors.Join(errUsage, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s holds no certificate", errUsage, f.Authority)
	}
	settings := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return wigeonoperator.NewClient(f.Operator, key, wigeonoperator.WithTLS(settings)), nil
}

// explain turns an error of the operator API into lines for an operator.
func explain(err error) error {
	var ce *wigeonoperator.CallError
	if !errors.As(err, &ce) {
		return err
	}
	var b strings.Builder
	switch ce.Body.Reason {
	case wigeonoperator.ReasonStaleBase:
		if len(ce.Body.Changes) == 0 {
			return fmt.Errorf("your base doesn't exist: the newest version is %d", ce.Body.Head)
		}
		fmt.Fprintf(&b, "the newest version is %d; changed since your base:", ce.Body.Head)
		for _, ch := range ce.Body.Changes {
			fmt.Fprintf(&b, "\n  %d by %s at %s: %s", ch.Version, ch.Author, ch.At.Format(timeLayout), shorten(string(ch.Patch)))
		}
		fmt.Fprintf(&b, "\nmake the patch anew against version %d", ce.Body.Head)
	case wigeonoperator.ReasonInvalid:
		b.WriteString("the patch is invalid; nothing was changed:")
		for _, f := range ce.Body.Faults {
			fmt.Fprintf(&b, "\n  %s: %s", f.Path, f.Reason)
		}
	default:
		return err
	}
	return errors.New(b.String())
}

// timeLayout is the layout of times for operators.
const timeLayout = "2006-01-02T15:04:05Z07:00"

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes rows under a header.
func printTable(w io.Writer, header []string, rows [][]string) error {
	t := tablewriter.NewTable(w, tablewriter.WithHeaderAutoFormat(tw.Off))
	t.Header(header)
	if err := t.Bulk(rows); err != nil {
		return err
	}
	return t.Render()
}
