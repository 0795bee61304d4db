package dgschema

// Kinds of sections of daemon settings.
const (
	SectionDaemon = "daemon"
	SectionLimits = "limits"
)

// Keys of daemon settings.
const (
	KeyVM              = "vm"
	KeyZone            = "zone"
	KeyCallerListen    = "caller listen"
	KeyPeerListen      = "peer listen"
	KeyCallerAnnounce  = "caller announce"
	KeyPeerAnnounce    = "peer announce"
	KeyPlatform        = "platform"
	KeySeeds           = "seeds"
	KeyOperatorToken   = "operator token"
	KeyLogLevel        = "log level"
	KeyShutdown        = "shutdown limit"
	KeyClockSkew       = "clock skew"
	KeyBody            = "body"
	KeyHeaders         = "headers"
	KeyOpenConnections = "connections"
	KeyRequests        = "requests"
)

// Daemon is the schema of daemon settings.
var Daemon = &Schema{Sections: []SectionRule{
	{Kind: SectionDaemon, Required: true, Text: "the VM and its addresses", Keys: []KeyRule{
		{Name: KeyVM, Kind: KindName, Required: true, Text: "name of this VM, as in the platform's VM list"},
		{Name: KeyZone, Kind: KindName, Required: true, Text: "availability zone of this VM"},
		{Name: KeyCallerListen, Kind: KindListenAddress, Required: true, Text: "address for callers and operators"},
		{Name: KeyPeerListen, Kind: KindListenAddress, Required: true, Text: "address for the other VMs"},
		{Name: KeyCallerAnnounce, Kind: KindAddress, Text: "address that callers connect to, if it is not caller listen"},
		{Name: KeyPeerAnnounce, Kind: KindAddress, Text: "address that the other VMs connect to, if it is not peer listen"},
		{Name: KeyPlatform, Kind: KindHostPort, Required: true, Text: "address of the platform's HTTP API"},
		{Name: KeySeeds, Kind: KindAddresses, Text: "peer addresses of other VMs, for a start while the platform is down"},
		{Name: KeyOperatorToken, Kind: KindToken, Min: 16, Max: 256, Required: true, Text: "secret that operators send; 16 to 256 characters"},
		{Name: KeyLogLevel, Kind: KindLevel, Default: "info", Text: "debug, info, warn or error"},
		{Name: KeyShutdown, Kind: KindDuration, Min: 1 * second, Max: 10 * minute, Default: "30s", Text: "time limit of a graceful shutdown"},
		{Name: KeyClockSkew, Kind: KindDuration, Min: 1 * millisecond, Max: 1 * second, Default: "250ms",
			Text: "largest accepted difference between the clocks of VMs and backend servers"},
	}},
	{Kind: SectionLimits, Text: "what a listener accepts", Keys: []KeyRule{
		{Name: KeyBody, Kind: KindSize, Min: 1 * kibibyte, Max: 64 * mebibyte, Default: "2MiB",
			Text: "bytes of one request; a deployment text of one megabyte must fit to be accepted by this VM"},
		{Name: KeyHeaders, Kind: KindSize, Min: 1 * kibibyte, Max: 1 * mebibyte, Default: "8KiB", Text: "bytes of all headers of one request"},
		{Name: KeyOpenConnections, Kind: KindCount, Min: 1, Max: 100_000, Default: "1000", Text: "open connections of one listener"},
		{Name: KeyRequests, Kind: KindCount, Min: 1, Max: 100_000, Default: "1000", Text: "requests of callers in flight at the same time"},
	}},
}}
