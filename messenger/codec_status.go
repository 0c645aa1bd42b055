package messenger

import (
	"almondstep"
	"almondstep/messenger/peerpb"
)

func encodeStatus(s *almondstep.DaemonStatus) *peerpb.StatusReply {
	return &peerpb.StatusReply{
		Daemon:      string(s.Daemon),
		Zone:        string(s.Zone),
		Revision:    uint64(s.Revision),
		Unready:     s.Unready,
		Owned:       int32(s.Owned),
		Granted:     int32(s.Granted),
		Cold:        int32(s.Cold),
		Leaving:     int32(s.Leaving),
		Quarantined: int32(s.Quarantined),
		Peers:       int32(s.Peers),
		Open:        int32(s.Open),
	}
}

func decodeStatus(r *peerpb.StatusReply) *almondstep.DaemonStatus {
	return &almondstep.DaemonStatus{
		Daemon:      almondstep.DaemonID(r.GetDaemon()),
		Zone:        almondstep.ZoneName(r.GetZone()),
		Revision:    almondstep.Revision(r.GetRevision()),
		Unready:     r.GetUnready(),
		Owned:       int(r.GetOwned()),
		Granted:     int(r.GetGranted()),
		Cold:        int(r.GetCold()),
		Leaving:     int(r.GetLeaving()),
		Quarantined: int(r.GetQuarantined()),
		Peers:       int(r.GetPeers()),
		Open:        int(r.GetOpen()),
	}
}
