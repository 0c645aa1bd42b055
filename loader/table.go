package loader

import "time"

// Units and forms of the settings.
const (
	unitName      = "name"
	unitAddress   = "IP number and port"
	unitFile      = "path of a file"
	unitDuration  = "duration"
	unitDurations = "duration for each zone"
	unitBool      = "true or false"
	unitCount     = "count"
	unitBytes     = "bytes"
	unitLevel     = "level"
)

const (
	maxNameBytes = 64
	maxThreads   = 256
	maxBodyBytes = 16 << 20
	maxSeed      = 1<<53 - 1
)

// Table lists all settings in the order of the default file.
func Table() []Row {
	return append(append(placeRows(), securityRows()...), runRows()...)
}

func placeRows() []Row {
	return []Row{
		{
			key: "zone", unit: unitName, fallback: `"curico-plant"`, required: true,
			help:  "The availability zone this daemon runs in, as in the operators' text.",
			field: func(s *Settings) any { return &s.Zone },
		},
		{
			key: "platformAddress", unit: unitAddress, fallback: `"127.0.0.1:7100"`, required: true,
			help:  "Where the platform's key-value service and list of VMs answer.",
			field: func(s *Settings) any { return &s.PlatformAddress },
		},
		{
			key: "vm", unit: unitName, fallback: `"daemon"`,
			help:  "The name the platform's list gives this VM; it is the daemon's id.",
			field: func(s *Settings) any { return &s.VM },
		},
		{
			key: "listenCallers", unit: unitAddress, fallback: `"127.0.0.1:7101"`,
			help:  "Where callers' requests, readiness and liveness are answered.",
			field: func(s *Settings) any { return &s.ListenCallers },
		},
		{
			key: "listenOperators", unit: unitAddress, fallback: `"127.0.0.1:7102"`,
			help:  "Where operators' requests and metrics are answered.",
			field: func(s *Settings) any { return &s.ListenOperators },
		},
		{
			key: "listenPeers", unit: unitAddress, fallback: `"127.0.0.1:7103"`,
			help:  "Where other daemons' messages are answered.",
			field: func(s *Settings) any { return &s.ListenPeers },
		},
		{
			key: "advertisePeers", unit: unitAddress, fallback: `""`,
			help:  "The address other daemons reach listenPeers under; empty if it is the same.",
			field: func(s *Settings) any { return &s.AdvertisePeers },
		},
		{
			key: "distances", unit: unitDurations, least: 0, most: int64(time.Second), fallback: `{}`,
			help:  "The one-way delay to each other zone, like {\"rengo-depot\": \"20ms\"}; nearer zones are asked first.",
			field: func(s *Settings) any { return &s.Distances },
		},
	}
}

func securityRows() []Row {
	return []Row{
		{
			key: "certFile", unit: unitFile, fallback: `""`,
			help:  "This daemon's certificate (PEM); read anew when the file changes.",
			field: func(s *Settings) any { return &s.CertFile },
		},
		{
			key: "keyFile", unit: unitFile, fallback: `""`,
			help:  "The certificate's key (PEM).",
			field: func(s *Settings) any { return &s.KeyFile },
		},
		{
			key: "caFile", unit: unitFile, fallback: `""`,
			help:  "The authority (PEM) that clients' and peers' certificates must come from; empty asks for none.",
			field: func(s *Settings) any { return &s.CAFile },
		},
		{
			key: "tlsCallers", unit: unitBool, fallback: `false`,
			help:  "Whether callers use TLS.",
			field: func(s *Settings) any { return &s.TLSCallers },
		},
		{
			key: "tlsOperators", unit: unitBool, fallback: `false`,
			help:  "Whether operators use TLS.",
			field: func(s *Settings) any { return &s.TLSOperators },
		},
		{
			key: "tlsPeers", unit: unitBool, fallback: `false`,
			help:  "Whether daemons use TLS among themselves, proving themselves to each other; needs caFile.",
			field: func(s *Settings) any { return &s.TLSPeers },
		},
	}
}

func runRows() []Row {
	return []Row{
		{
			key: "logLevel", unit: unitLevel, fallback: `"info"`,
			choices: []string{"trace", "debug", "info", "warn", "error", "off"},
			help:    "The least level that is logged.",
			field:   func(s *Settings) any { return &s.LogLevel },
		},
		{
			key: "logJson", unit: unitBool, fallback: `false`,
			help:  "Whether log lines are JSON.",
			field: func(s *Settings) any { return &s.LogJSON },
		},
		{
			key: "readyDelay", unit: unitDuration, least: 0, most: int64(time.Minute), fallback: `"2s"`,
			help:  "How long a stopping daemon still takes requests after it says it isn't ready, so that the balancer notices.",
			field: func(s *Settings) any { return &s.ReadyDelay },
		},
		{
			key: "stopTimeout", unit: unitDuration, least: int64(100 * time.Millisecond), most: int64(10 * time.Minute), fallback: `"70s"`,
			help:  "How long a stopping daemon waits for open requests after that; more than the longest hardDeadline cuts off none.",
			field: func(s *Settings) any { return &s.StopTimeout },
		},
		{
			key: "trafficThreads", unit: unitCount, least: 0, most: maxThreads, fallback: `0`,
			help:  "Threads that hold queries and upstreams; 0 takes one for each core.",
			field: func(s *Settings) any { return &s.TrafficThreads },
		},
		{
			key: "maxBodyBytes", unit: unitBytes, least: 1024, most: maxBodyBytes, fallback: `1048576`,
			help:  "The longest body a caller may send.",
			field: func(s *Settings) any { return &s.MaxBodyBytes },
		},
		{
			key: "seed", unit: unitCount, least: 0, most: maxSeed, fallback: `0`,
			help:  "Where the daemon's randomness starts; 0 draws one at each start.",
			field: func(s *Settings) any { return &s.Seed },
		},
	}
}
