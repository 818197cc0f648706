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

// ConfigCommand groups the commands that read and change the configuration.
type ConfigCommand struct {
	Show     ConfigShowCommand     `cmd:"" help:"Print the active configuration or an earlier version."`
	Patch    ConfigPatchCommand    `cmd:"" help:"Submit a patch based on a given version."`
	History  ConfigHistoryCommand  `cmd:"" help:"List accepted patches, oldest first."`
	Diff     ConfigDiffCommand     `cmd:"" help:"Print the merge patch from one version to another."`
	Rollback ConfigRollbackCommand `cmd:"" help:"Create a new version with the content of an earlier one."`
	Versions ConfigVersionsCommand `cmd:"" help:"List the configuration version that is active on each instance."`
	Validate ConfigValidateCommand `cmd:"" help:"Check a patch or configuration file without an instance."`
	Keygen   ConfigKeygenCommand   `cmd:"" help:"Generate a key for callers or operators; its secret is printed only once."`
}

// OperatorFlags select the instance whose operator API is called, and the credentials for it.
type OperatorFlags struct {
	Operator  string `default:"http://127.0.0.1:7200" env:"WIGEONSHIFT_OPERATOR" help:"Base URL of an instance's operator API."`
	Key       string `env:"WIGEONSHIFT_OPERATOR_KEY" help:"Operator key as NAME.SECRET. Flags are visible to other users of the machine: prefer the environment variable or --key-file."`
	KeyFile   string `type:"existingfile" env:"WIGEONSHIFT_OPERATOR_KEY_FILE" help:"File that contains the operator key."`
	Authority string `type:"existingfile" help:"PEM file with the CA certificates that sign the instance's certificate."`
}

// client returns an operator API client that uses the key and the CA certificates of the flags.
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
		return nil, fmt.Errorf("%w: missing operator key: set --key-file, --key or WIGEONSHIFT_OPERATOR_KEY", errUsage)
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
		return nil, fmt.Errorf("%w: %s contains no PEM certificate", errUsage, f.Authority)
	}
	tlsConfig := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return wigeonoperator.NewClient(f.Operator, key, wigeonoperator.WithTLS(tlsConfig)), nil
}

// describeCallError explains a stale base version or an invalid patch in lines for an operator. Other errors are
// returned unchanged.
func describeCallError(err error) error {
	var callErr *wigeonoperator.CallError
	if !errors.As(err, &callErr) {
		return err
	}
	var b strings.Builder
	switch callErr.Body.Reason {
	case wigeonoperator.ReasonStaleBase:
		if len(callErr.Body.Changes) == 0 {
			return fmt.Errorf("the base version doesn't exist: the newest version is %d", callErr.Body.Head)
		}
		fmt.Fprintf(&b, "the newest version is %d; changes since the base version:", callErr.Body.Head)
		for _, ch := range callErr.Body.Changes {
			fmt.Fprintf(&b, "\n  %d by %s at %s: %s", ch.Version, ch.Author, ch.At.Format(timeLayout), truncatePatch(string(ch.Patch)))
		}
		fmt.Fprintf(&b, "\nrecreate the patch against version %d", callErr.Body.Head)
	case wigeonoperator.ReasonInvalid:
		b.WriteString("the patch is invalid; nothing was changed:")
		for _, f := range callErr.Body.Faults {
			fmt.Fprintf(&b, "\n  %s: %s", f.Path, f.Reason)
		}
	default:
		return err
	}
	return errors.New(b.String())
}

// timeLayout is the layout of timestamps in the output for operators.
const timeLayout = "2006-01-02T15:04:05Z07:00"

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes a table with a header.
func printTable(w io.Writer, header []string, rows [][]string) error {
	t := tablewriter.NewTable(w, tablewriter.WithHeaderAutoFormat(tw.Off))
	t.Header(header)
	if err := t.Bulk(rows); err != nil {
		return err
	}
	return t.Render()
}
