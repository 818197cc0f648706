package wigeonoperator

import (
	"encoding/json"
	"time"

	"wigeonshift"
)

// PatchBody is the request body that submits a patch.
type PatchBody struct {
	// Base is the version that the patch applies to.
	Base uint64 `json:"base"`
	// Patch is a JSON merge patch (RFC 7386).
	Patch json.RawMessage `json:"patch"`
	// PatchID is chosen by the client, which uses the same id when it sends the patch again.
	PatchID string `json:"patchId"`
	// DryRun checks the patch without applying it.
	DryRun bool `json:"dryRun,omitempty"`
}

// RollbackBody is the request body that restores the content of an old version as a new version.
type RollbackBody struct {
	Base    uint64 `json:"base"`
	Target  uint64 `json:"target"`
	PatchID string `json:"patchId"`
}

// AcceptedBody is the response to an accepted patch or rollback.
type AcceptedBody struct {
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dryRun,omitempty"`
	// Change is nil for a dry run.
	Change *ChangeBody `json:"change,omitempty"`
}

// ChangeBody is one change in the change log.
type ChangeBody struct {
	Version uint64          `json:"version"`
	PatchID string          `json:"patchId"`
	Author  string          `json:"author"`
	At      time.Time       `json:"at"`
	Patch   json.RawMessage `json:"patch"`
}

// ChangesBody is a page of the change log, oldest change first.
type ChangesBody struct {
	Changes []ChangeBody `json:"changes"`
}

// VersionsBody contains the current configuration version of each live instance.
type VersionsBody struct {
	Versions []VersionBody `json:"versions"`
}

// VersionBody is the current configuration version of one instance; 0 if the instance has not reported one.
type VersionBody struct {
	Instance wigeonshift.Instance `json:"instance"`
	Version  uint64               `json:"version"`
	LagMS    int64                `json:"lagMs"`
}

func changeBody(ch wigeonshift.Change) ChangeBody {
	return ChangeBody{Version: ch.Version, PatchID: ch.PatchID, Author: ch.Author, At: ch.At, Patch: ch.Patch}
}

func changeBodies(changes []wigeonshift.Change) []ChangeBody {
	bodies := make([]ChangeBody, len(changes))
	for i, ch := range changes {
		bodies[i] = changeBody(ch)
	}
	return bodies
}
