package almondstep

// DaemonStatus is the status that a daemon reports to operators.
type DaemonStatus struct {
	Daemon   DaemonID `json:"daemon"`
	Zone     ZoneName `json:"zone"`
	Revision Revision `json:"revision"`
	// Unready is the reason the daemon is not ready for callers; empty if it is ready.
	Unready string `json:"unready,omitempty"`
	// Owned is the number of upstreams that this daemon owns. Granted, Cold and
	// Leaving count those of them that have a full grant, are cold and are leaving.
	Owned   int `json:"owned"`
	Granted int `json:"granted"`
	Cold    int `json:"cold"`
	Leaving int `json:"leaving"`
	// Quarantined is the number of requests in quarantine because they crash
	// upstreams.
	Quarantined int `json:"quarantined"`
	// Peers is the number of other daemons whose address this one knows.
	Peers int `json:"peers"`
	// Open is the number of queries in progress.
	Open int `json:"open"`
}

// Status summarizes the view. It leaves Open 0, as a view doesn't count queries.
func (v *View) Status() DaemonStatus {
	s := DaemonStatus{
		Daemon:      v.self,
		Zone:        v.zone,
		Revision:    v.revision,
		Unready:     v.unready,
		Owned:       len(v.owned),
		Quarantined: len(v.quarantined),
		Peers:       len(v.peers),
	}
	for _, o := range v.owned {
		if o.grant == GrantFull {
			s.Granted++
		}
		if o.temperature == Cold {
			s.Cold++
		}
		if o.leaving {
			s.Leaving++
		}
	}
	return s
}
