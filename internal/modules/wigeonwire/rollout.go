package wigeonwire

import (
	"time"

	"wigeonshift"
)

func encodeRollouts(reports []wigeonshift.RolloutReport) []*RolloutReport {
	var out []*RolloutReport
	for _, r := range reports[:min(len(reports), wigeonshift.MaxRolloutReports)] {
		report := &RolloutReport{
			Service: r.Service, OrderRevision: r.OrderRevision, AgeMs: r.Age.Milliseconds(), State: string(r.State),
			Condemned: r.Condemned, Stage: encodeCount(int(r.Stage)), OthersRunning: encodeCount(r.OthersRunning),
			HasSeenOthers: r.HasSeenOthers,
		}
		for _, c := range r.Counts[:min(len(r.Counts), wigeonshift.MaxRolloutCounts)] {
			report.Counts = append(report.Counts, &RolloutCount{
				Route: c.Route, Stage: encodeCount(int(c.Stage)), OnTarget: c.OnTarget, Answers: encodeCount(c.Answers),
				Failed: encodeCount(c.Failed), Slow: encodeCount(c.Slow), Lost: encodeCount(c.Lost),
				Overdue: encodeCount(c.Overdue),
			})
		}
		out = append(out, report)
	}
	return out
}

// decodeRollouts decodes reports. Lists that are longer than allowed are cut.
func decodeRollouts(reports []*RolloutReport) []wigeonshift.RolloutReport {
	var out []wigeonshift.RolloutReport
	for _, r := range reports[:min(len(reports), wigeonshift.MaxRolloutReports)] {
		report := wigeonshift.RolloutReport{
			Service: r.GetService(), OrderRevision: r.GetOrderRevision(), Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
			State: wigeonshift.RolloutState(r.GetState()), Condemned: r.GetCondemned(), Stage: decodeStage(r.GetStage()),
			OthersRunning: int(r.GetOthersRunning()), HasSeenOthers: r.GetHasSeenOthers(),
		}
		for _, c := range r.GetCounts()[:min(len(r.GetCounts()), wigeonshift.MaxRolloutCounts)] {
			report.Counts = append(report.Counts, wigeonshift.RolloutCount{
				Route: c.GetRoute(), Stage: decodeStage(c.GetStage()), OnTarget: c.GetOnTarget(), Answers: int(c.GetAnswers()),
				Failed: int(c.GetFailed()), Slow: int(c.GetSlow()), Lost: int(c.GetLost()),
				Overdue: int(c.GetOverdue()),
			})
		}
		out = append(out, report)
	}
	return out
}

// decodeStage decodes a stage. One that is unknown counts as the last.
func decodeStage(n uint32) wigeonshift.RolloutStage {
	return wigeonshift.RolloutStage(min(n, uint32(wigeonshift.RolloutFull)))
}
