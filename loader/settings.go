package loader

import (
	"time"

	"almondstep"
)

// Settings are a daemon's settings. The rows of the table describe each field.
type Settings struct {
	VM              string
	Zone            almondstep.ZoneName
	PlatformAddress almondstep.Address
	ListenCallers   almondstep.Address
	ListenOperators almondstep.Address
	ListenPeers     almondstep.Address
	AdvertisePeers  almondstep.Address
	Distances       map[almondstep.ZoneName]time.Duration
	CertFile        string
	KeyFile         string
	CAFile          string
	TLSCallers      bool
	TLSOperators    bool
	TLSPeers        bool
	LogLevel        string
	LogJSON         bool
	ReadyDelay      time.Duration
	StopTimeout     time.Duration
	TrafficThreads  int
	MaxBodyBytes    int
	Seed            int
}

// Advertised is the address under which other daemons reach this one.
func (s *Settings) Advertised() almondstep.Address {
	if s.AdvertisePeers != "" {
		return s.AdvertisePeers
	}
	return s.ListenPeers
}
