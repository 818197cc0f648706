package wigeonentry

// maxIdleWorkers limits the goroutines that wait for the next run. They are reused because their stacks have already
// grown to the size that a run needs.
const maxIdleWorkers = 64

// worker performs runs, one at a time.
type worker struct {
	service *Service
	nextRun *attemptRun
}

// assignWorker passes a run to an idle worker, or starts a new worker for it.
func (s *Service) assignWorker(r *attemptRun) {
	select {
	case s.idleWork <- r:
	default:
		w := &worker{service: s, nextRun: r}
		s.tasks.Go(w.loop)
	}
}

// loop performs runs until maxIdleWorkers other workers are idle or the service stops.
func (w *worker) loop() {
	s := w.service
	for w.nextRun != nil {
		w.nextRun.run()
		w.nextRun = nil
		if s.idleWorkers.Add(1) <= maxIdleWorkers {
			select {
			case w.nextRun = <-s.idleWork:
			case <-s.baseCtx.Done():
			}
		}
		s.idleWorkers.Add(-1)
	}
}
