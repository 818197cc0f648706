package wigeonoperator

import (
	"encoding/json"
	"time"

	"wigeonshift"
)

// PatchBody submits a patch.
type PatchBody struct {
	// Base is the version the patch was made against.
	Base uint64 `json:"base"`
	// Patch is a JSON merge patch (RFC 7386).
	Patch json.RawMessage `json:"patch"`
	// PatchID is chosen by the client and stays the same when it sends the patch again.
	PatchID string `json:"patchId"`
	// DryRun checks the patch and changes nothing.
	DryRun bool `json:"dryRun,omitempty"`
}

// RollbackBody makes a new version with the content of an old one.
type RollbackBody struct {
	Base    uint64 `json:"base"`
	Target  uint64 `json:"target"`
	PatchID string `json:"patchId"`
}

// AcceptedBody answers a patch.
type AcceptedBody struct {
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dryRun,omitempty"`
	// Change is missing for a dry run.
	Change *ChangeBody `json:"change,omitempty"`
}

// ChangeBody is one change of the log.
type ChangeBody struct {
	Version uint64          `json:"version"`
	PatchID string          `json:"patchId"`
	Author  string          `json:"author"`
	At      time.Time       `json:"at"`
	Patch   json.RawMessage `json:"patch"`
}

// ChangesBody answers the change log, oldest first.
type ChangesBody struct {
	Changes []ChangeBody `json:"changes"`
}

// VersionsBody answers which version each live instance has in force.
type VersionsBody struct {
	Versions []VersionBody `json:"versions"`
}

// VersionBody is one instance's version; 0 when it told none.
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
