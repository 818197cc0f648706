package wigeonowner_test

import (
	"sync"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// load asks for permits from some nodes without a break and counts what comes back.
type load struct {
	lab     *lab
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	granted int
	refused int
	// late counts the permits that took more than a second.
	late int
	// worst is the longest wait for a permit.
	worst time.Duration
	// grants holds the epoch of each grant by its token.
	grants map[wigeonshift.AttemptToken]uint64
	twice  int
	model  string
	pause  time.Duration
}

func (l *lab) drive(model string, pause time.Duration, nodes ...*node) *load {
	d := &load{lab: l, stop: make(chan struct{}), grants: map[wigeonshift.AttemptToken]uint64{}, model: model, pause: pause}
	for _, n := range nodes {
		for range 3 {
			d.wg.Add(1)
			go d.loop(n)
		}
	}
	return d
}

func (d *load) loop(n *node) {
	defer d.wg.Done()
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(d.pause):
		}
		a, took, s := n.askModel(d.model, 20*time.Second)
		d.note(a, took)
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

func (d *load) note(a wigeonshift.PermitAnswer, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.worst = max(d.worst, took)
	if took > time.Second {
		d.late++
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
		d.twice++
	}
	d.grants[a.Grant.Token] = a.Grant.Epoch
}

// end stops the load and reports its figures.
func (d *load) end(what string) {
	close(d.stop)
	d.wg.Wait()
	GinkgoWriter.Printf("%s: granted %d, refused %d, late %d, longest wait for a permit %v\n",
		what, d.granted, d.refused, d.late, d.worst)
	d.lab.g.Expect(d.twice).To(BeZero(), "no token is granted twice")
}
