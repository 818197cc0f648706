package wigeonentry_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite the recorded sessions of the golden files")

// golden is the content of one golden file: a script and the session recorded from it.
type golden struct {
	Script  script  `json:"script"`
	Session session `json:"session"`
}

func readGolden(path string) golden {
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	var g golden
	Expect(json.Unmarshal(data, &g)).To(Succeed())
	return g
}

func encode(v any) string {
	data, err := json.MarshalIndent(v, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	return string(data) + "\n"
}

// outcome summarizes an answer: its text or body, or the refusal reason and run state.
func (a sessionAnswer) outcome() string {
	switch {
	case a.Reason != "":
		return string(a.Reason) + " " + string(a.State)
	case a.Replayed:
		return "replay " + a.Body
	default:
		return a.Text + a.Body
	}
}

// expectInvariants checks that no permit is used twice, that no request has two dispatches that may have run, and that
// no request refused as notRun may have run.
func (s session) expectInvariants() {
	begun := map[wigeonshift.AttemptToken]bool{}
	var last wigeonshift.RequestID
	owners := map[wigeonshift.AttemptToken]wigeonshift.RequestID{}
	for _, e := range s.Trace {
		switch d := e.Detail.(type) {
		case askDetail:
			last = d.Request
		case runDetail:
			switch {
			case e.Action == "grant":
				owners[d.Token] = last
			case d.Error == "" && (e.Action == "generate" || strings.HasPrefix(e.Action, "call ")):
				Expect(begun[d.Token]).To(BeFalse(), "permit %s was used twice", d.Token)
				begun[d.Token] = true
			}
		case reportDetail:
			if e.Action == "report notRun" {
				delete(begun, d.Token)
			}
		}
	}
	running := map[wigeonshift.RequestID]int{}
	for token := range begun {
		running[owners[token]]++
	}
	for _, a := range s.Answers {
		Expect(running[a.Request]).To(BeNumerically("<=", 1), "%s was dispatched twice", a.Request)
		if a.State == wigeonshift.NotRun {
			Expect(running[a.Request]).To(BeZero(), "%s ran", a.Request)
		}
	}
}

var _ = DescribeTable("Recorded sessions",
	func(name string, outcomes ...string) {
		path := filepath.Join("testdata", "golden", name+".json")
		g := readGolden(path)
		s := runScript(g.Script)
		var got []string
		for _, a := range s.Answers {
			got = append(got, a.outcome())
		}
		Expect(got).To(Equal(outcomes))
		s.expectInvariants()
		if *update {
			Expect(os.WriteFile(path, []byte(encode(golden{g.Script, s})), 0o600)).To(Succeed())
			return
		}
		Expect(encode(s)).To(MatchJSON(encode(g.Session)))
	},
	Entry(nil, "completion", "two fingers"),
	Entry(nil, "not-run-retry", "two "),
	Entry(nil, "endpoint-leaving", "one "),
	Entry(nil, "retry-budget", "retryBudget notRun"),
	Entry(nil, "refused-by-owner", "queueFull notRun"),
	Entry(nil, "owner-lost", "noOwner notRun", "noOwner notRun"),
	Entry(nil, "pause-resume", "two fingers"),
	Entry(nil, "preempted", "preempted ran", "preempted unknown"),
	Entry(nil, "displaced", "preempted ran", "preempted notRun", "three", "four", "tooManyRequests notRun"),
	Entry(nil, "lost-mid-stream", "two fingers"),
	Entry(nil, "lost-for-good", "endpointLost ran", "endpointLost unknown"),
	Entry(nil, "silent-stream", "two fingers"),
	Entry(nil, "crossed-answers", "two fingers", "endpointLost unknown", "three "),
	Entry(nil, "crossed-call", "outcomeUnknown unknown"),
	Entry(nil, "caller-gone", "callerGone ran", "callerGone notRun", "callerGone unknown", "replay issued"),
	Entry(nil, "slow-caller", "two fingers", "preempted ran"),
	Entry(nil, "non-idempotent-left", "callerGone unknown", "replay issued", "deadlinePassed unknown", "alreadyDispatched unknown",
		"replay issued", "callerGone unknown", "issued", "callerGone unknown", "alreadyDispatched unknown"),
	Entry(nil, "deadlines", "deadlinePassed ran", "deadlinePassed notRun", "deadlinePassed unknown"),
	Entry(nil, "non-idempotent", "issued", "alreadyDispatched unknown", "replay issued", "idempotencyKeyReused notRun", "badRequest notRun"),
	Entry(nil, "non-idempotent-not-run", "endpointError notRun", "endpointError notRun", "deadlineUnreachable notRun", "issued"),
	Entry(nil, "non-idempotent-lost", "endpointLost unknown", "alreadyDispatched unknown"),
	Entry(nil, "store-down", "storeUnavailable notRun", "storeUnavailable notRun", "storeUnavailable notRun", "issued"),
	Entry(nil, "outcome-late", "issued", "alreadyDispatched unknown", "replay issued"),
	Entry(nil, "drain", "two fingers", "three", "shuttingDown notRun"),
	Entry(nil, "drain-overrun", "two fingers"),
)
