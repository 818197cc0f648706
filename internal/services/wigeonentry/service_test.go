package wigeonentry_test

import (
	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var completionCaller = callerScript{Model: "m", Prompt: "how wide is the mesh", MaxTokens: 4}

func grant(endpoint string) []ownerStep { return []ownerStep{{AfterMS: 2, Grant: endpoint}} }

// streamSteps returns the steps of a run that sends a text every 10 ms and ends 10 ms after the last one.
func streamSteps(finish string, texts ...string) []runStep {
	var steps []runStep
	for _, t := range texts {
		steps = append(steps, runStep{AfterMS: 10, Text: t})
	}
	return append(steps, runStep{AfterMS: 10, Finish: finish})
}

var _ = Describe("Service", func() {
	It("returns the complete answer of a completion", func() {
		s := runScript(script{
			Callers: []callerScript{completionCaller},
			Asks:    [][]ownerStep{grant("a")},
			Runs:    map[string][][]runStep{"a": {streamSteps("stop", "two ", "fingers")}},
		})
		Expect(s.Answers).To(Equal([]sessionAnswer{{Request: "i-1", AtMS: 32, Text: "two fingers", Finish: wigeonshift.FinishStop}}))
		Expect(s.actions("owner i-1")).To(Equal([]string{
			"ask", "grant", "report started", "report firstToken", "report finished", "close",
		}))
	})
})
