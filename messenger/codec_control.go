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
	if s.Age == almondstep.AgeUnknown {
		out.Unknown = true
		return out
	}
	// An age is rounded up, since a receiver may trust a younger edition more.
	out.AgeMs = uint64((s.Age + time.Millisecond - 1) / time.Millisecond)
	return out
}

func decodeState(s *peerpb.DocumentState) almondstep.DocumentState {
	age := time.Duration(s.GetAgeMs()) * time.Millisecond
	if s.GetUnknown() || age < 0 {
		age = almondstep.AgeUnknown
	}
	return almondstep.DocumentState{
		Name:     almondstep.DocumentName(s.GetName()),
		Revision: almondstep.Revision(s.GetRevision()),
		Hash:     almondstep.Hash(s.GetHash()),
		Age:      age,
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
		Renews:      d.Renews,
		Vouches:     d.Vouches,
	}
	for _, s := range d.Documents {
		out.Documents = append(out.Documents, encodeState(s))
	}
	for _, r := range d.Rumors {
		out.Rumors = append(out.Rumors, encodeRumor(r))
	}
	for _, g := range d.Gone {
		out.Gone = append(out.Gone, &peerpb.Gone{Daemon: string(g.Daemon), Incarnation: g.Incarnation})
	}
	return out
}

func decodeDigest(d *peerpb.Digest) *almondstep.Digest {
	out := &almondstep.Digest{
		From:        almondstep.DaemonID(d.GetFrom()),
		Addr:        almondstep.Address(d.GetAddr()),
		Zone:        almondstep.ZoneName(d.GetZone()),
		Incarnation: d.GetIncarnation(),
		Renews:      d.GetRenews(),
		Vouches:     d.GetVouches(),
	}
	for _, s := range d.GetDocuments() {
		out.Documents = append(out.Documents, decodeState(s))
	}
	for _, r := range d.GetRumors() {
		out.Rumors = append(out.Rumors, decodeRumor(r))
	}
	for _, g := range d.GetGone() {
		out.Gone = append(out.Gone, almondstep.GoneDaemon{
			Daemon:      almondstep.DaemonID(g.GetDaemon()),
			Incarnation: g.GetIncarnation(),
		})
	}
	return out
}
