package wigeonentry

// maxIdleWorkers bounds the goroutines that wait for the next run. Their grown stacks are what a reuse saves.
const maxIdleWorkers = 64

// worker carries out runs, one after the other.
type worker struct {
	service *Service
	next    *run
}

// startRun hands a run to an idle worker, or to a new one.
func (s *Service) startRun(r *run) {
	select {
	case s.work <- r:
	default:
		w := &worker{service: s, next: r}
		s.tasks.Go(w.loop)
	}
}

// loop ends when enough other workers are idle or the service stops.
func (w *worker) loop() {
	s := w.service
	for w.next != nil {
		w.next.run()
		w.next = nil
		if s.idle.Add(1) <= maxIdleWorkers {
			select {
			case w.next = <-s.work:
			case <-s.running.Done():
			}
		}
		s.idle.Add(-1)
	}
}
