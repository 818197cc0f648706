package wigeonowner_test

import (
	"sync"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// loadDriver continuously requests permits at some nodes and counts the answers.
type loadDriver struct {
	cluster *localCluster
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	granted int
	refused int
	// slow counts the answers that took more than a second.
	slow int
	// longestWait is the longest wait for an answer.
	longestWait time.Duration
	// grants maps the token of each grant to its epoch.
	grants          map[wigeonshift.AttemptToken]uint64
	duplicateTokens int
	model           string
	pause           time.Duration
}

// startLoad starts three callers at each of the nodes. Every caller pauses before each request for a permit of the
// model.
func (l *localCluster) startLoad(model string, pause time.Duration, nodes ...*node) *loadDriver {
	d := &loadDriver{cluster: l, stop: make(chan struct{}), grants: map[wigeonshift.AttemptToken]uint64{}, model: model, pause: pause}
	for _, n := range nodes {
		for range 3 {
			d.wg.Add(1)
			go d.loop(n)
		}
	}
	return d
}

func (d *loadDriver) loop(n *node) {
	defer d.wg.Done()
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(d.pause):
		}
		a, took, s := n.askModel(d.model, 20*time.Second)
		d.record(a, took)
		if a.Grant != nil {
			s.Report(wigeonshift.AttemptReport{
				Request: a.Grant.Request, Shard: a.Grant.Shard, Token: a.Grant.Token, Endpoint: a.Grant.Endpoint,
				State: wigeonshift.AttemptStarted,
			})
			time.Sleep(30 * time.Millisecond)
			finish(s, a.Grant)
		} else {
			s.Close()
		}
	}
}

// record counts one answer.
func (d *loadDriver) record(a wigeonshift.PermitAnswer, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longestWait = max(d.longestWait, took)
	if took > time.Second {
		d.slow++
	}
	if a.Grant == nil {
		d.refused++
		if d.refused <= 3 {
			GinkgoWriter.Printf("refused after %v: %+v\n", took, a.Refuse)
		}
		return
	}
	d.granted++
	if _, ok := d.grants[a.Grant.Token]; ok {
		d.duplicateTokens++
	}
	d.grants[a.Grant.Token] = a.Grant.Epoch
}

// stopAndReport stops the load, prints its figures and checks that no token was granted twice.
func (d *loadDriver) stopAndReport(what string) {
	close(d.stop)
	d.wg.Wait()
	GinkgoWriter.Printf("%s: granted %d, refused %d, slow %d, longest wait for a permit %v\n",
		what, d.granted, d.refused, d.slow, d.longestWait)
	d.cluster.g.Expect(d.duplicateTokens).To(BeZero(), "no token is granted twice")
}
