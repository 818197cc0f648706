package wigeonsoak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// oddRowPrefix begins the keys of rows that describe no endpoint.
const oddRowPrefix = "odd-"

// oddRows are values of endpoint rows that another writer left, by what is wrong. address is that of a sound endpoint.
func oddRows(address string) map[string]string {
	row := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":%s,"state":"ready"%s}`, address, slots, more)
	}
	nested := strings.Repeat(`{"a":`, 5_000) + "1" + strings.Repeat("}", 5_000)
	return map[string]string{
		"port out of range":  row("127.0.0.1:99999", "8", ""),
		"port above 16 bits": row("127.0.0.1:70000", "8", ""),
		"negative port":      row("127.0.0.1:-1", "8", ""),
		"port zero":          row("127.0.0.1:0", "8", ""),
		"port is a name":     row("127.0.0.1:http", "8", ""),
		"port is no number":  row("127.0.0.1:abc", "8", ""),
		"no port":            row("127.0.0.1", "8", ""),
		"any address":        row("0.0.0.0:80", "8", ""),
		"many slots":         row(address, "2000000000", ""),
		"most slots":         row(address, "9223372036854775807", ""),
		"too many slots":     row(address, "9223372036854775808", ""),
		"negative slots":     row(address, "-1", ""),
		"slots overflow":     row(address, "1e400", ""),
		"negative start":     row(address, "8", `,"born":-1`),
		"nested service":     `{"service":` + nested + `,"address":"127.0.0.1:80","state":"ready"}`,
		"nested beside":      row(address, "8", `,"more":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)),
		"long service":       `{"service":"` + strings.Repeat("s", 4_000) + `","address":"127.0.0.1:80","state":"ready"}`,
		"no object":          `[1,2,3]`,
		"nothing":            ``,
		"no text":            "\x00\xff\xfe",
		"line break in key":  row(address, "8", ""),
	}
}

// oddKey returns the key of an odd row.
func oddKey(name string) string {
	if name == "line break in key" {
		return oddRowPrefix + "a\r\nX-Other: 1"
	}
	return oddRowPrefix + strings.ReplaceAll(name, " ", "-")
}

// putRaw writes a row with a value that needn't be JSON.
func (s *store) putRaw(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyRow(storeRow{Table: table, Key: key, Version: s.version, Value: value})
}

// TestOddRows guards against rows of another writer that are taken as endpoints, instances, crashes or leases, or that end the
// processes that read them.
func TestOddRows(t *testing.T) {
	skipIfKnownRed(t)
	s := newSoakRun(t, 1, buildRelay(t))
	address := s.engines[0].proxy.address()
	for name, value := range oddRows(address) {
		s.store.putRaw("servers", oddKey(name), []byte(value))
		for _, table := range []string{"instances", "quarantine", "shares"} {
			s.store.putRaw(table, oddKey(name), []byte(value))
		}
		s.store.putRaw("op", oddKey(name), []byte(value))
	}
	for n, address := range []string{"127.0.0.1:99999", "nowhere", "127.0.0.1:0", ""} {
		value, _ := json.Marshal(map[string]string{"id": fmt.Sprint(oddRowPrefix, n), "address": address, "zone": "z"})
		s.store.putRaw("instances", fmt.Sprint(oddRowPrefix, "instance-", n), value)
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for i := range callerCount {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), 3)), stop: stop}
		tasks.Go(c.run)
	}
	time.Sleep(3 * time.Second)
	// A start reads all rows as a list.
	s.restart(s.relays[0], 9)
	// An endpoint's row is written again and again.
	for range 20 {
		s.store.putRaw("servers", oddKey("port zero"), []byte(oddRows(address)["port zero"]))
		time.Sleep(150 * time.Millisecond)
	}
	close(stop)
	tasks.Wait()
	s.checkOddRows(t)
}

// checkOddRows checks that no odd row was used, that each was refused with few lines, and that the others are in use.
func (s *soakRun) checkOddRows(t *testing.T) {
	c := &caller{soak: s, random: rand.New(rand.NewPCG(9, 9))}
	for _, p := range s.relays {
		s.g.Eventually(p.isReady).WithTimeout(5 * time.Second).Should(BeTrue())
		s.g.Expect(c.request("/safe/", p)).To(Equal(http.StatusOK))
		text, err := os.ReadFile(p.logFile.Name())
		s.g.Expect(err).NotTo(HaveOccurred())
		used, refused := map[string]int{}, 0
		for line := range strings.Lines(string(text)) {
			var l struct {
				Endpoint string `json:"endpoint"`
				Instance string `json:"instance"`
				Message  string `json:"msg"`
			}
			if json.Unmarshal([]byte(line), &l) != nil {
				continue
			}
			switch {
			case strings.HasPrefix(l.Endpoint, oddRowPrefix), strings.HasPrefix(l.Instance, oddRowPrefix):
				used[l.Message]++
			case strings.Contains(l.Message, "failed to decode"), strings.Contains(l.Message, "row refused"):
				refused++
			}
		}
		t.Logf("%s: used %v, %d lines about refused rows", p.name, used, refused)
		s.g.Expect(used).To(BeEmpty(), "lines about odd rows in use")
		s.g.Expect(string(text)).NotTo(MatchRegexp("panic:|fatal error:"), p.name)
		// One for each row of four tables; the first relay was started twice.
		s.g.Expect(refused).To(BeNumerically("<=", 2*(4*len(oddRows(""))+4)), "lines about refused rows")
	}
	s.g.Expect(s.violations).To(BeEmpty())
	s.g.Expect(s.outcomes[http.StatusOK]).To(BeNumerically(">", 500))
	bad := s.requestCount - s.outcomes[http.StatusOK]
	s.g.Expect(bad).To(BeNumerically("<=", 20), "requests that were not served: %v", s.outcomes)
}
