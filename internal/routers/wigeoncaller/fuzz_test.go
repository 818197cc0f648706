package wigeoncaller

import (
	"encoding/json"
	"strings"
	"testing"
)

func FuzzAppendString(f *testing.F) {
	for _, seed := range []string{"", "plain", `"quoted\"`, "line\nfeed", "ü\u2028\x7f", "\xff\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var back string
		if err := json.Unmarshal(appendString(nil, text), &back); err != nil {
			t.Fatal(err)
		}
		// Each invalid byte becomes one replacement character.
		if want := string([]rune(text)); back != want {
			t.Fatalf("%q was decoded as %q", text, back)
		}
	})
}

func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{"store/parts?boat=7", "store", "store?x", "", "/", "?", "a/../b", "a%2fb//c"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, rest string) {
		service, path := servicePath(servicesPrefix + rest)
		if strings.ContainsAny(service, "/?") || !strings.HasPrefix(path, "/") {
			t.Fatalf("%q gave service %q and path %q", rest, service, path)
		}
		if joined := service + path; joined != rest && strings.Replace(joined, "/", "", 1) != rest {
			t.Fatalf("%q gave service %q and path %q", rest, service, path)
		}
	})
}

func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"x","max_tokens":3}`, `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`,
		`{"model":"m","prompt":null,"max_tokens":-1}`, `{"model":3}`, `[]`, `null`, `{"messages":[null]}`, `{`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		var body completionBody
		if json.Unmarshal(data, &body) != nil {
			return
		}
		g, fault := body.parse(chat)
		if fault == "" && (g.Model == "" || g.MaxTokens < 1 || chat && len(body.Messages) == 0) {
			t.Fatalf("accepted %s as %+v", data, g)
		}
	})
}
