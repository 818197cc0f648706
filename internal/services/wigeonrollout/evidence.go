package wigeonrollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"wigeonshift"
)

const (
	// suspectDeviations and suspectExtra replace deviations and extraBad for a version that may be bad. Its last stage begins as
	// late as possible.
	suspectDeviations = 1.5
	suspectExtra      = 1
	// doubtDeviations and doubtExtra replace them at the latest moment at which the last stage can begin. What speaks that much against a
	// version is enough not to give it everything.
	doubtDeviations = 2
	doubtExtra      = 1.5
	// deviations and extraBad are what a version may exceed the expected number of bad answers by. Both together keep a good
	// version from being rolled back by chance.
	deviations = 3
	extraBad   = 2.5
	// extraOverdue replaces extraBad for attempts that still run. Counts of other instances may be some seconds old, and they don't add
	// up to those of one moment.
	extraOverdue = 5
	// worseFactor is how many times the rate of the other versions a target version may have.
	worseFactor = 2
	// minFailedRate, minSlowRate and minLostRate are rates that are always accepted. Losses are connections that break, also in
	// the crash of a zone, so that more of them are.
	minFailedRate = 0.01
	minSlowRate   = 0.02
	minLostRate   = 0.1
	// minOverdueRate does the same for attempts that run and are overdue, among these and the judged ones.
	minOverdueRate = 0.02
	// minCompared is the number of answers of other versions from which the target version's pace and losses are compared
	// within a stage.
	minCompared = 10
	// fullSlowRate and minFullSlow are the rate and number of slow answers from which a version is bad in the stage in which the
	// others get no requests to compare with. A burst may slow some answers then.
	fullSlowRate = 0.2
	minFullSlow  = 8
	// allRoutes is the key of the sums over all routes. No route has an empty name.
	allRoutes = ""
	// furtherRoutes stands for the routes beyond maxGroups groups.
	furtherRoutes = "*"
	// maxGroups leaves room for furtherRoutes in each stage, with two counts for each group.
	maxGroups = wigeonshift.MaxRolloutCounts/2 - 3
)

// group is what is compared: a route, or all routes, in one stage.
type group struct {
	route string
	stage wigeonshift.RolloutStage
}

// tally counts attempts on the target version or on the others.
type tally struct{ answers, failed, slow, lost, overdue int }

// pair holds the tallies of a group.
type pair struct{ target, others tally }

// tallies holds the pairs of all groups.
type tallies map[group]*pair

// evidence is what was seen of the versions: by this instance, and by all together.
type evidence struct {
	own, total tallies
	// ownCounts are the counts of own; nil if they have changed since.
	ownCounts []wigeonshift.RolloutCount
	// isJudged is set while judgement holds for total.
	isJudged  bool
	judgement judgement
}

// judgement is what the evidence says of the target version.
type judgement struct {
	// reason says why it is bad; empty if nothing shows that it is.
	reason string
	// isSuspicious is set if it may be bad.
	isSuspicious bool
	// doubt says why it is better not used by all; empty if nothing speaks against it that much.
	doubt string
	// overdue says which running attempts would make it bad if they went on to be slow; empty if none would.
	overdue string
}

func newEvidence() evidence { return evidence{own: tallies{}, total: tallies{}} }

// add counts an attempt of this instance.
func (e *evidence) add(route string, stage wigeonshift.RolloutStage, onTarget bool, t tally) {
	if route == allRoutes || e.own[group{route, stage}] == nil && len(e.own) >= maxGroups {
		route = furtherRoutes
	}
	e.ownCounts, e.isJudged = nil, false
	e.own.add(group{route, stage}, onTarget, t, 1)
	e.total.addBoth(group{route, stage}, onTarget, t, 1)
}

// replace replaces the counts of another instance.
func (e *evidence) replace(before, after []wigeonshift.RolloutCount) {
	if slices.Equal(before, after) {
		return
	}
	e.isJudged = false
	for _, c := range before {
		e.total.addBoth(group{c.Route, c.Stage}, c.OnTarget, tallyOf(c), -1)
	}
	for _, c := range after {
		e.total.addBoth(group{c.Route, c.Stage}, c.OnTarget, tallyOf(c), 1)
	}
}

func tallyOf(c wigeonshift.RolloutCount) tally {
	return tally{answers: c.Answers, failed: c.Failed, slow: c.Slow, lost: c.Lost, overdue: c.Overdue}
}

// addBoth adds to a route's group and to that of all routes.
func (t tallies) addBoth(g group, onTarget bool, x tally, sign int) {
	t.add(g, onTarget, x, sign)
	if g.route != allRoutes {
		t.add(group{allRoutes, g.stage}, onTarget, x, sign)
	}
}

func (t tallies) add(g group, onTarget bool, x tally, sign int) {
	p := t[g]
	if p == nil {
		p = &pair{}
		t[g] = p
	}
	sum := &p.others
	if onTarget {
		sum = &p.target
	}
	sum.answers += sign * x.answers
	sum.failed += sign * x.failed
	sum.slow += sign * x.slow
	sum.lost += sign * x.lost
	sum.overdue += sign * x.overdue
}

// counts returns the counts of this instance.
func (e *evidence) counts() []wigeonshift.RolloutCount {
	if e.ownCounts == nil {
		e.ownCounts = e.own.counts()
	}
	return e.ownCounts
}

// counts returns the tallies in the order of routes and stages.
func (t tallies) counts() []wigeonshift.RolloutCount {
	var out []wigeonshift.RolloutCount
	for _, g := range t.groups() {
		out = appendCount(out, g, true, t[g].target)
		out = appendCount(out, g, false, t[g].others)
	}
	return out
}

func appendCount(out []wigeonshift.RolloutCount, g group, onTarget bool, t tally) []wigeonshift.RolloutCount {
	if t == (tally{}) {
		return out
	}
	return append(out, wigeonshift.RolloutCount{
		Route: g.route, Stage: g.stage, OnTarget: onTarget, Answers: t.answers, Failed: t.failed, Slow: t.slow, Lost: t.lost, Overdue: t.overdue,
	})
}

func (t tallies) groups() []group {
	return slices.SortedFunc(maps.Keys(t), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.stage, b.stage))
	})
}

// setOverdue replaces the counts of this instance's attempts that are overdue.
func (e *evidence) setOverdue(overdue tallies) {
	for g, p := range e.own {
		after := pair{}
		if o := overdue[g]; o != nil {
			after = *o
		}
		e.changeOverdue(g, true, after.target.overdue-p.target.overdue)
		e.changeOverdue(g, false, after.others.overdue-p.others.overdue)
		delete(overdue, g)
	}
	for g, p := range overdue {
		e.changeOverdue(g, true, p.target.overdue)
		e.changeOverdue(g, false, p.others.overdue)
	}
}

// ownTarget returns the sum of what this instance has seen of the target version.
func (e *evidence) ownTarget() tally {
	var sum tally
	for _, p := range e.own {
		sum = sum.plus(p.target)
	}
	return sum
}

func (e *evidence) changeOverdue(g group, onTarget bool, by int) {
	if by != 0 {
		e.add(g.route, g.stage, onTarget, tally{overdue: by})
	}
}

// doubt says why the target version is better not used by all; empty if nothing speaks against it that much.
func (e *evidence) doubt() string { return e.judge().doubt }

// overdue says which running attempts speak against the target version; empty if none do.
func (e *evidence) overdue() string { return e.judge().overdue }

// verdict says why the target version is bad; empty if nothing shows that it is.
func (e *evidence) verdict() string { return e.judge().reason }

// isSuspicious reports whether the target version may be bad.
func (e *evidence) isSuspicious() bool { return e.judge().isSuspicious }

// judge judges the target version if the evidence has changed.
func (e *evidence) judge() judgement {
	if !e.isJudged {
		e.judgement = judgement{
			reason: e.findExcess(deviations, extraBad, comparison.excess), doubt: e.findExcess(doubtDeviations, doubtExtra, comparison.excess),
			overdue: e.findExcess(deviations, extraOverdue, comparison.overdueExcess),
			isSuspicious: e.findExcess(suspectDeviations, suspectExtra, comparison.excess) != "" ||
				e.findExcess(suspectDeviations, suspectExtra, comparison.overdueExcess) != "",
		}
		e.isJudged = true
	}
	return e.judgement
}

// findExcess describes the first group in which the target version has more bad answers than chance explains. Each stage is
// looked at alone and together with those before, since it may have too few answers.
func (e *evidence) findExcess(deviations, extra float64, excessOf func(comparison) string) string {
	for _, g := range e.total.groups() {
		p := e.total[g]
		if p.target.answers == 0 && p.target.lost == 0 && p.target.overdue == 0 {
			continue
		}
		c := comparison{group: g, pair: *p, routeOthers: e.upTo(group{g.route, wigeonshift.RolloutFull}).others, deviations: deviations, extra: extra}
		if reason := excessOf(c); reason != "" {
			return reason
		}
		c.pair = e.upTo(g)
		if reason := excessOf(c); reason != "" {
			return reason
		}
	}
	return ""
}

// plus returns the sum of two tallies.
func (t tally) plus(o tally) tally {
	return tally{answers: t.answers + o.answers, failed: t.failed + o.failed, slow: t.slow + o.slow, lost: t.lost + o.lost, overdue: t.overdue + o.overdue}
}

// comparison compares the versions within a group.
type comparison struct {
	group
	pair
	// routeOthers is the tally of the other versions over all stages.
	routeOthers       tally
	deviations, extra float64
}

// excess describes what the target version does worse; empty if nothing.
func (c comparison) excess() string {
	others := c.others
	if others.answers < minCompared {
		// The other versions' failures don't depend on the stage, but their pace and losses do.
		others = c.routeOthers
	}
	failed, othersFailed := rate{c.target.failed, c.target.answers}, rate{others.failed, others.answers}
	if c.exceeds(failed, othersFailed, minFailedRate) {
		return describe("failed", c.group, failed, othersFailed)
	}
	slow, othersSlow := rate{c.target.slow, c.target.answers}, rate{others.slow, others.answers}
	if c.others.answers < minCompared {
		if c.stage == wigeonshift.RolloutFull && slow.n >= minFullSlow && slow.of(fullSlowRate) {
			return describe("slow", c.group, slow, othersSlow)
		}
		return ""
	}
	if c.exceeds(slow, othersSlow, minSlowRate) {
		return describe("slow", c.group, slow, othersSlow)
	}
	lost, othersLost := rate{c.target.lost, c.target.answers + c.target.lost}, rate{others.lost, others.answers + others.lost}
	if c.stage != wigeonshift.RolloutFull && c.exceeds(lost, othersLost, minLostRate) {
		return describe("lost", c.group, lost, othersLost)
	}
	return ""
}

// overdueExcess describes by how much more attempts of the target version run for too long; empty if not more. It leaves out the last
// stage, in which the load of the target version grows.
func (c comparison) overdueExcess() string {
	others := c.others
	if others.answers < minCompared {
		others = c.routeOthers
	}
	if c.stage == wigeonshift.RolloutFull || others.answers < minCompared {
		return ""
	}
	overdue := rate{c.target.overdue, c.target.answers + c.target.overdue}
	othersOverdue := rate{others.overdue, others.answers + others.overdue}
	if c.exceeds(overdue, othersOverdue, minOverdueRate) {
		return describe("overdue", c.group, overdue, othersOverdue)
	}
	return ""
}

// exceeds reports whether more of the target version's answers are bad than the others' rate explains, by chance or otherwise.
func (c comparison) exceeds(target, others rate, accepted float64) bool {
	p := worseFactor * float64(others.n+1) / float64(others.all+2)
	p = min(max(p, accepted), 1)
	n := float64(target.all)
	return float64(target.n) > n*p+c.deviations*math.Sqrt(n*p*(1-p))+c.extra
}

// upTo returns the tallies of a route over a stage and those before.
func (e *evidence) upTo(g group) pair {
	var sum pair
	for stage := wigeonshift.RolloutCanary; stage <= g.stage; stage++ {
		if p := e.total[group{g.route, stage}]; p != nil {
			sum.target = sum.target.plus(p.target)
			sum.others = sum.others.plus(p.others)
		}
	}
	return sum
}

// rate is a number of bad ones among all.
type rate struct{ n, all int }

// of reports whether the bad ones are at least a share of all.
func (r rate) of(share float64) bool { return float64(r.n) >= share*float64(r.all) }

// describe says why a version is bad, for logs and the status row.
func describe(kind string, g group, target, others rate) string {
	route := g.route
	if route == allRoutes {
		route = "all routes"
	}
	text := fmt.Sprintf("%s: %d of %d, others %d of %d, %s, stage %s", kind, target.n, target.all, others.n, others.all, route, g.stage)
	return text[:min(len(text), wigeonshift.MaxRolloutText)]
}
