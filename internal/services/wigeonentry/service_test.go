package wigeonentry_test

import (
	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var completion = callerScript{Model: "m", Prompt: "how wide is the mesh", MaxTokens: 4}

func grant(endpoint string) []ownerStep { return []ownerStep{{AfterMS: 2, Grant: endpoint}} }

// words is a run that sends each text after ten milliseconds and then ends.
func words(finish string, texts ...string) []runStep {
	var steps []runStep
	for _, t := range texts {
		steps = append(steps, runStep{AfterMS: 10, Text: t})
	}
	return append(steps, runStep{AfterMS: 10, Finish: finish})
}

var _ = Describe("An entry instance", func() {
	It("carries a completion to its whole answer", func() {
		s := play(script{
			Callers: []callerScript{completion},
			Asks:    [][]ownerStep{grant("a")},
			Runs:    map[string][][]runStep{"a": {words("stop", "two ", "fingers")}},
		})
		Expect(s.Answers).To(Equal([]sessionAnswer{{Request: "i-1", AtMS: 32, Text: "two fingers", Finish: wigeonshift.FinishStop}}))
		Expect(s.actions("owner i-1")).To(Equal([]string{
			"ask", "grant", "report started", "report firstToken", "report finished", "close",
		}))
	})
})
