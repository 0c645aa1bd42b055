package loader

import "time"

// Units and formats of the settings.
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
	return append(append(networkRows(), securityRows()...), runtimeRows()...)
}

func networkRows() []Row {
	return []Row{
		{
			key: "zone", unit: unitName, defaultJSON: `"curico-plant"`, required: true,
			help:  "The availability zone this daemon runs in, as in the operators' text.",
			field: func(s *Settings) any { return &s.Zone },
		},
		{
			key: "platformAddress", unit: unitAddress, defaultJSON: `"127.0.0.1:7100"`, required: true,
			help:  "Where the platform's key-value service and list of VMs answer.",
			field: func(s *Settings) any { return &s.PlatformAddress },
		},
		{
			key: "vm", unit: unitName, defaultJSON: `"daemon"`,
			help:  "The name the platform's list gives this VM; it is the daemon's id.",
			field: func(s *Settings) any { return &s.VM },
		},
		{
			key: "listenCallers", unit: unitAddress, defaultJSON: `"127.0.0.1:7101"`,
			help:  "Where callers' requests, readiness and liveness are answered.",
			field: func(s *Settings) any { return &s.ListenCallers },
		},
		{
			key: "listenOperators", unit: unitAddress, defaultJSON: `"127.0.0.1:7102"`,
			help:  "Where operators' requests and metrics are answered.",
			field: func(s *Settings) any { return &s.ListenOperators },
		},
		{
			key: "listenPeers", unit: unitAddress, defaultJSON: `"127.0.0.1:7103"`,
			help:  "Where other daemons' messages are answered.",
			field: func(s *Settings) any { return &s.ListenPeers },
		},
		{
			key: "advertisePeers", unit: unitAddress, defaultJSON: `""`,
			help:  "The address other daemons reach listenPeers under; empty if it is the same.",
			field: func(s *Settings) any { return &s.AdvertisePeers },
		},
		{
			key: "distances", unit: unitDurations, min: 0, max: int64(time.Second), defaultJSON: `{}`,
			help:  "The one-way delay to each other zone, like {\"rengo-depot\": \"20ms\"}; nearer zones are asked first.",
			field: func(s *Settings) any { return &s.Distances },
		},
	}
}

func securityRows() []Row {
	return []Row{
		{
			key: "certFile", unit: unitFile, defaultJSON: `""`,
			help:  "This daemon's certificate (PEM); read anew when the file changes.",
			field: func(s *Settings) any { return &s.CertFile },
		},
		{
			key: "keyFile", unit: unitFile, defaultJSON: `""`,
			help:  "The certificate's key (PEM).",
			field: func(s *Settings) any { return &s.KeyFile },
		},
		{
			key: "caFile", unit: unitFile, defaultJSON: `""`,
			help:  "The authority (PEM) that clients' and peers' certificates must come from; empty asks for none.",
			field: func(s *Settings) any { return &s.CAFile },
		},
		{
			key: "tlsCallers", unit: unitBool, defaultJSON: `false`,
			help:  "Whether callers use TLS.",
			field: func(s *Settings) any { return &s.TLSCallers },
		},
		{
			key: "tlsOperators", unit: unitBool, defaultJSON: `false`,
			help:  "Whether operators use TLS.",
			field: func(s *Settings) any { return &s.TLSOperators },
		},
		{
			key: "tlsPeers", unit: unitBool, defaultJSON: `false`,
			help:  "Whether daemons use TLS among themselves, proving themselves to each other; needs caFile.",
			field: func(s *Settings) any { return &s.TLSPeers },
		},
	}
}

func runtimeRows() []Row {
	return []Row{
		{
			key: "logLevel", unit: unitLevel, defaultJSON: `"info"`,
			choices: []string{"trace", "debug", "info", "warn", "error", "off"},
			help:    "The least level that is logged.",
			field:   func(s *Settings) any { return &s.LogLevel },
		},
		{
			key: "logJson", unit: unitBool, defaultJSON: `false`,
			help:  "Whether log lines are JSON.",
			field: func(s *Settings) any { return &s.LogJSON },
		},
		{
			key: "readyDelay", unit: unitDuration, min: 0, max: int64(time.Minute), defaultJSON: `"2s"`,
			help:  "How long a stopping daemon still takes requests after it says it isn't ready, so that the balancer notices.",
			field: func(s *Settings) any { return &s.ReadyDelay },
		},
		{
			key: "stopTimeout", unit: unitDuration, min: int64(100 * time.Millisecond), max: int64(10 * time.Minute), defaultJSON: `"70s"`,
			help:  "How long a stopping daemon waits for open requests after that; more than the longest hardDeadline cuts off none.",
			field: func(s *Settings) any { return &s.StopTimeout },
		},
		{
			key: "trafficThreads", unit: unitCount, min: 0, max: maxThreads, defaultJSON: `0`,
			help:  "Threads that hold queries and upstreams; 0 takes one for each core.",
			field: func(s *Settings) any { return &s.TrafficThreads },
		},
		{
			key: "maxBodyBytes", unit: unitBytes, min: 1024, max: maxBodyBytes, defaultJSON: `1048576`,
			help:  "The longest body a caller may send.",
			field: func(s *Settings) any { return &s.MaxBodyBytes },
		},
		{
			key: "seed", unit: unitCount, min: 0, max: maxSeed, defaultJSON: `0`,
			help:  "Where the daemon's randomness starts; 0 draws one at each start.",
			field: func(s *Settings) any { return &s.Seed },
		},
	}
}
