package wigeonentry_test

import "wigeonshift"

// script describes the callers of one session and the behaviour of the fake owner, endpoints and claim store. Times are
// in milliseconds: AtMS and DrainAtMS count from the start of the session, AfterMS from the previous step and DisconnectMS
// from the caller's request.
type script struct {
	Callers []callerScript `json:"callers"`
	// Asks holds the owner's steps for each permit request, in the order of the requests.
	Asks [][]ownerStep `json:"asks"`
	// Runs holds the steps of each endpoint's generate, resume and call requests, in the order of the requests.
	Runs map[string][][]runStep `json:"runs,omitempty"`
	// Claims holds the results of the calls that write a claim; empty for success.
	Claims []string `json:"claims,omitempty"`
	// Settles holds the results of the calls that record an outcome; empty for success.
	Settles []string `json:"settles,omitempty"`
	// MaxConcurrent limits the requests in flight; 0 means the default.
	MaxConcurrent  int   `json:"maxConcurrent,omitempty"`
	DrainAtMS      int64 `json:"drainMs,omitempty"`
	DrainTimeoutMS int64 `json:"drainForMs,omitempty"`
}

type callerScript struct {
	AtMS         int64  `json:"atMs"`
	Tier         string `json:"tier,omitempty"`
	TimeoutMS    int64  `json:"timeoutMs,omitempty"`
	DisconnectMS int64  `json:"goneMs,omitempty"`
	WriteDelayMS int64  `json:"slowMs,omitempty"`
	Model        string `json:"model,omitempty"`
	Prompt       string `json:"prompt,omitempty"`
	MaxTokens    int    `json:"maxTokens,omitempty"`
	Service      string `json:"service,omitempty"`
	Method       string `json:"method,omitempty"`
	Path         string `json:"path,omitempty"`
	Body         string `json:"body,omitempty"`
	Key          string `json:"key,omitempty"`
}

// ownerStep is one answer of the owner. Expired grants a permit whose ExpiresAt has passed, Lost closes the session
// without an answer, and Fail makes the permit request itself fail.
type ownerStep struct {
	AfterMS int64                     `json:"afterMs"`
	Grant   string                    `json:"grant,omitempty"`
	Expired bool                      `json:"void,omitempty"`
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
	// Token and Offset replace the correct values of a chunk or a result.
	Token      string `json:"token,omitempty"`
	Offset     *int   `json:"offset,omitempty"`
	AwaitPause bool   `json:"awaitPause,omitempty"`
	// Silent waits until the context ends. IgnoreCancel waits until the session ends and then sends a late chunk.
	Silent       bool   `json:"silent,omitempty"`
	IgnoreCancel bool   `json:"deaf,omitempty"`
	Error        string `json:"error,omitempty"`
	Finish       string `json:"finish,omitempty"`
	// ExtraTokens is the number of tokens that the result counts beyond those sent.
	ExtraTokens int    `json:"short,omitempty"`
	Status      int    `json:"status,omitempty"`
	Body        string `json:"body,omitempty"`
}

// session is the record of what the service did when it ran a script.
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
