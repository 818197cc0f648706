package wigeoncaller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"wigeonshift/internal/services/wigeonendpoint"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonfault"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	callerCount     = 24
	tokensPerCaller = 40
)

// streamedText returns the text of a streamed response. complete is false if the end marker is missing.
func streamedText(body string) (text string, complete bool) {
	for _, frame := range strings.Split(body, "\n\n") {
		data, ok := strings.CutPrefix(frame, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var f struct {
			Choices []struct{ Text string }
		}
		Expect(json.Unmarshal([]byte(data), &f)).To(Succeed())
		text += f.Choices[0].Text
	}
	return text, false
}

var _ = DescribeTable("Streamed completions over TCP from the stand-in engine",
	func(faults wigeonfault.Faults, allComplete bool) {
		speed := wigeonengine.Speed{DecodeStep: time.Millisecond, MaxBatch: callerCount, PrefillChunk: 512}
		engine := wigeonengine.New("127.0.0.1:0", wigeonengine.WithModels("m"), wigeonengine.WithSpeed(speed), wigeonengine.WithFaults(faults))
		Expect(engine.Start(context.Background())).To(Succeed())
		DeferCleanup(func() { Expect(engine.Stop(context.Background())).To(Succeed()) })
		dialer := wigeonendpoint.New(wigeonendpoint.WithChunkTimeout(200 * time.Millisecond))
		DeferCleanup(dialer.CloseIdle)
		s := serve(grantBroker{engine.Address()}, dialer)
		var callers sync.WaitGroup
		for i := range callerCount {
			callers.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("net %d", i)
				body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokensPerCaller)
				response, text := s.send("POST", "/v1/completions", body)
				got, complete := "", false
				if response.StatusCode == http.StatusOK {
					got, complete = streamedText(text)
				}
				want := wigeonengine.CompletionText("m", prompt, tokensPerCaller)
				if complete || allComplete {
					Expect(got).To(Equal(want), "%d %s", response.StatusCode, text)
					return
				}
				Expect(want).To(HavePrefix(got))
				Expect(text).To(ContainSubstring(`"error":{"reason":"`))
			})
		}
		callers.Wait()
		for content, count := range engine.Contents() {
			Expect(count).To(Equal(1), content)
		}
	},
	Entry("without faults", wigeonfault.Faults{}, true),
	Entry("with requests refused before they run", wigeonfault.Faults{RefuseNext: 3}, true),
	Entry("with dropped connections", wigeonfault.Faults{DropReplies: 5}, true),
	Entry("with responses to other requests", wigeonfault.Faults{CrossedReplies: 5}, true),
	Entry("with a crash", wigeonfault.Faults{CrashMarker: "net 7"}, false),
)
