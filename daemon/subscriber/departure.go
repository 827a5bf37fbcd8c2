package subscriber

import "bluebellhoist/core/wire"

// Recovered returns a channel that is closed once a controller has told the departures of the upstreams on this VM, after a
// linearizable read, or a snapshot was loaded from the data folder.
func (s *Subscriber) Recovered() <-chan struct{} {
	return s.recovered
}

func (s *Subscriber) isRecovered() bool {
	select {
	case <-s.recovered:
		return true
	default:
		return false
	}
}

// recoverDepartures passes on the departures that the replicated log holds.
func (s *Subscriber) recoverDepartures(gone []wire.Departure) {
	if s.isRecovered() && len(gone) == 0 {
		return
	}
	s.log.Info("departures recovered", "count", len(gone))
	s.departed(gone)
	s.recoveredOnce.Do(func() { close(s.recovered) })
}
