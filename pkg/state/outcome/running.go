package outcome

// CountRunning returns the number of runs in progress.
func (t *Table) CountRunning() int {
	running := 0
	for i := range t.shards {
		running += t.shards[i].countRunning()
	}
	return running
}

func (s *tableShard) countRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := 0
	for _, e := range s.entries {
		if e.state == stateRunning {
			running++
		}
	}
	return running
}
