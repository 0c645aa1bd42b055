package almondstep

// DaemonStatus is what one daemon says of itself, for operators.
type DaemonStatus struct {
	Daemon   DaemonID `json:"daemon"`
	Zone     ZoneName `json:"zone"`
	Revision Revision `json:"revision"`
	// Unready says why callers should not be sent here; empty if they should.
	Unready string `json:"unready,omitempty"`
	// Owned is the number of upstreams this daemon alone sends work to, and the
	// rest is how many of these may be used how far.
	Owned   int `json:"owned"`
	Granted int `json:"granted"`
	Cold    int `json:"cold"`
	Leaving int `json:"leaving"`
	// Quarantined is the number of requests refused because they crash upstreams.
	Quarantined int `json:"quarantined"`
	// Peers is the number of daemons this one can name an address for.
	Peers int `json:"peers"`
	// Open is the number of queries under way.
	Open int `json:"open"`
}

// Status sums the view up. Open is left for whoever counts queries.
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
