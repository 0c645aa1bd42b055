package messenger

import (
	"time"

	"almondstep"
	"almondstep/messenger/peerpb"
)

func encodeState(s almondstep.DocumentState) *peerpb.DocumentState {
	out := &peerpb.DocumentState{
		Name:     string(s.Name),
		Revision: uint64(s.Revision),
		Hash:     string(s.Hash),
	}
	out.AgeMs, out.Unknown = encodeAge(s.Age)
	return out
}

// encodeAge rounds up to whole milliseconds: a receiver keeps the latest
// confirmation, so none may seem more recent than it is.
func encodeAge(age time.Duration) (ms uint64, unknown bool) {
	if age == almondstep.AgeUnknown {
		return 0, true
	}
	return uint64((age + time.Millisecond - 1) / time.Millisecond), false
}

func decodeAge(ms uint64, unknown bool) time.Duration {
	const maxMillis = uint64(almondstep.AgeUnknown / time.Millisecond)
	if unknown || ms > maxMillis {
		return almondstep.AgeUnknown
	}
	return time.Duration(ms) * time.Millisecond
}

func decodeState(s *peerpb.DocumentState) almondstep.DocumentState {
	return almondstep.DocumentState{
		Name:     almondstep.DocumentName(s.GetName()),
		Revision: almondstep.Revision(s.GetRevision()),
		Hash:     almondstep.Hash(s.GetHash()),
		Age:      decodeAge(s.GetAgeMs(), s.GetUnknown()),
	}
}

func encodeRumor(r almondstep.Rumor) *peerpb.Rumor {
	return &peerpb.Rumor{
		Kind:        uint32(r.Kind),
		Daemon:      string(r.Daemon),
		Addr:        string(r.Addr),
		Zone:        string(r.Zone),
		Member:      uint32(r.Member),
		Incarnation: r.Incarnation,
		Upstream:    string(r.Upstream),
		Boot:        string(r.Boot),
		Temperature: uint32(r.Temperature),
		Sequence:    r.Sequence,
		Fingerprint: uint64(r.Fingerprint),
		Remaining:   int64(r.Remaining),
		Crashes:     int32(r.Crashes),
	}
}

func decodeRumor(r *peerpb.Rumor) almondstep.Rumor {
	return almondstep.Rumor{
		Kind:        almondstep.RumorKind(r.GetKind()),
		Daemon:      almondstep.DaemonID(r.GetDaemon()),
		Addr:        almondstep.Address(r.GetAddr()),
		Zone:        almondstep.ZoneName(r.GetZone()),
		Member:      almondstep.MemberState(r.GetMember()),
		Incarnation: r.GetIncarnation(),
		Upstream:    almondstep.Address(r.GetUpstream()),
		Boot:        almondstep.BootID(r.GetBoot()),
		Temperature: almondstep.Temperature(r.GetTemperature()),
		Sequence:    r.GetSequence(),
		Fingerprint: almondstep.Fingerprint(r.GetFingerprint()),
		Remaining:   time.Duration(r.GetRemaining()),
		Crashes:     int(r.GetCrashes()),
	}
}

func encodeDigest(d *almondstep.Digest) *peerpb.Digest {
	out := &peerpb.Digest{
		From:        string(d.From),
		Addr:        string(d.Addr),
		Zone:        string(d.Zone),
		Incarnation: d.Incarnation,
		Renews:      d.RenewLease,
		Vouches:     d.LeaseConfirmed,
	}
	for _, s := range d.Documents {
		out.Documents = append(out.Documents, encodeState(s))
	}
	for _, r := range d.Rumors {
		out.Rumors = append(out.Rumors, encodeRumor(r))
	}
	for _, g := range d.ExpiredLeases {
		out.Gone = append(out.Gone, &peerpb.Gone{Daemon: string(g.Daemon), Incarnation: g.Incarnation})
	}
	for _, z := range d.Zones {
		ms, unknown := encodeAge(z.Age)
		out.Zones = append(out.Zones, &peerpb.ZoneConfirmation{Zone: string(z.Zone), AgeMs: ms, Unknown: unknown})
	}
	return out
}

func decodeDigest(d *peerpb.Digest) *almondstep.Digest {
	out := &almondstep.Digest{
		From:           almondstep.DaemonID(d.GetFrom()),
		Addr:           almondstep.Address(d.GetAddr()),
		Zone:           almondstep.ZoneName(d.GetZone()),
		Incarnation:    d.GetIncarnation(),
		RenewLease:     d.GetRenews(),
		LeaseConfirmed: d.GetVouches(),
	}
	for _, s := range d.GetDocuments() {
		out.Documents = append(out.Documents, decodeState(s))
	}
	for _, r := range d.GetRumors() {
		out.Rumors = append(out.Rumors, decodeRumor(r))
	}
	for _, g := range d.GetGone() {
		out.ExpiredLeases = append(out.ExpiredLeases, almondstep.ExpiredLease{
			Daemon:      almondstep.DaemonID(g.GetDaemon()),
			Incarnation: g.GetIncarnation(),
		})
	}
	for _, z := range d.GetZones() {
		out.Zones = append(out.Zones, almondstep.ZoneConfirmation{
			Zone: almondstep.ZoneName(z.GetZone()),
			Age:  decodeAge(z.GetAgeMs(), z.GetUnknown()),
		})
	}
	return out
}
