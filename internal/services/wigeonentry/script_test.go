package wigeonentry_test

import "wigeonshift"

// script is one session: what callers ask and how owner, endpoints and store behave. All times are milliseconds
// after the session's start or after the step before.
type script struct {
	Callers []callerScript `json:"callers"`
	// Asks holds the owner's steps for each permit request in the order in which they come.
	Asks [][]ownerStep `json:"asks"`
	// Runs holds the steps of each endpoint's generate, resume and call in the order in which they come.
	Runs   map[string][][]runStep `json:"runs,omitempty"`
	Claims []string               `json:"claims,omitempty"`
	// Settles holds the results of the calls that record an outcome; empty for success.
	Settles []string `json:"settles,omitempty"`
	// MaxConcurrent is the bound on the requests in flight; 0 leaves the default.
	MaxConcurrent int   `json:"maxConcurrent,omitempty"`
	DrainMS       int64 `json:"drainMs,omitempty"`
	DrainFor      int64 `json:"drainForMs,omitempty"`
}

type callerScript struct {
	AtMS      int64  `json:"atMs"`
	Tier      string `json:"tier,omitempty"`
	TimeoutMS int64  `json:"timeoutMs,omitempty"`
	GoneMS    int64  `json:"goneMs,omitempty"`
	SlowMS    int64  `json:"slowMs,omitempty"`
	Model     string `json:"model,omitempty"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	Service   string `json:"service,omitempty"`
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	Body      string `json:"body,omitempty"`
	Key       string `json:"key,omitempty"`
}

// ownerStep is one answer of the owner. Fail lets the question itself fail.
type ownerStep struct {
	AfterMS int64                     `json:"afterMs"`
	Grant   string                    `json:"grant,omitempty"`
	Void    bool                      `json:"void,omitempty"`
	Refuse  wigeonshift.RefusalReason `json:"refuse,omitempty"`
	Revoke  wigeonshift.RevokeAction  `json:"revoke,omitempty"`
	Spill   wigeonshift.ShardID       `json:"spill,omitempty"`
	Lost    bool                      `json:"lost,omitempty"`
	Fail    bool                      `json:"fail,omitempty"`
}

// runStep is one step of a run at an endpoint.
type runStep struct {
	AfterMS int64 `json:"afterMs"`
	// Unstarted ends the run before the first byte is written.
	Unstarted bool   `json:"unstarted,omitempty"`
	Text      string `json:"text,omitempty"`
	// Token and Offset replace the right ones of a chunk or an end.
	Token      string `json:"token,omitempty"`
	Offset     *int   `json:"offset,omitempty"`
	AwaitPause bool   `json:"awaitPause,omitempty"`
	// Silent waits for the end of the context; Deaf for the end of the test.
	Silent bool   `json:"silent,omitempty"`
	Deaf   bool   `json:"deaf,omitempty"`
	Error  string `json:"error,omitempty"`
	Finish string `json:"finish,omitempty"`
	// Short is the number of tokens that the end claims beyond those sent.
	Short  int    `json:"short,omitempty"`
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
}

// session is what happened.
type session struct {
	Trace    []traceEntry     `json:"trace"`
	Answers  []sessionAnswer  `json:"answers"`
	Counters map[string]int64 `json:"counters"`
}

type traceEntry struct {
	AtMS   int64  `json:"atMs"`
	Actor  string `json:"actor"`
	Action string `json:"action"`
	Detail any    `json:"detail,omitempty"`
}

type askDetail struct {
	Request      wigeonshift.RequestID `json:"request"`
	Shard        wigeonshift.ShardID   `json:"shard"`
	Tier         string                `json:"tier"`
	Rank         wigeonshift.TierRank  `json:"rank"`
	PromptTokens int                   `json:"promptTokens"`
	MaxTokens    int                   `json:"maxTokens"`
	DeadlineMS   int64                 `json:"deadlineMs"`
	Attempt      int                   `json:"attempt"`
	Avoid        []string              `json:"avoid,omitempty"`
	Spills       int                   `json:"spills,omitempty"`
}

type reportDetail struct {
	Token          wigeonshift.AttemptToken `json:"token"`
	Endpoint       string                   `json:"endpoint"`
	TokensDone     int                      `json:"tokensDone"`
	ElapsedMS      int64                    `json:"elapsedMs"`
	ConnectRefused bool                     `json:"connectRefused,omitempty"`
}

type runDetail struct {
	Token  wigeonshift.AttemptToken `json:"token"`
	Offset int                      `json:"offset,omitempty"`
	Text   string                   `json:"text,omitempty"`
	Error  string                   `json:"error,omitempty"`
}

type sessionAnswer struct {
	Request      wigeonshift.RequestID     `json:"request"`
	AtMS         int64                     `json:"atMs"`
	Text         string                    `json:"text,omitempty"`
	Finish       wigeonshift.FinishReason  `json:"finish,omitempty"`
	Status       int                       `json:"status,omitempty"`
	Body         string                    `json:"body,omitempty"`
	Replayed     bool                      `json:"replayed,omitempty"`
	Reason       wigeonshift.RefusalReason `json:"reason,omitempty"`
	State        wigeonshift.RunState      `json:"state,omitempty"`
	RetryAfterMS int64                     `json:"retryAfterMs,omitempty"`
}
