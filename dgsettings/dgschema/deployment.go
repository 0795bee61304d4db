package dgschema

// Kinds of sections of a deployment text.
const (
	SectionDeployment = "deployment"
	SectionDefaults   = "defaults"
	SectionService    = "service"
)

// Keys of a deployment text.
const (
	KeyName        = "name"
	KeyZones       = "zones"
	KeyHedgeExtra  = "hedge extra"
	KeyLike        = "like"
	KeyClass       = "class"
	KeyDeadline    = "deadline"
	KeyPartial     = "partial"
	KeyActions     = "actions"
	KeySlots       = "slots"
	KeyConnections = "connections"
	KeyConnectCost = "connect cost"
	KeyColdLimit   = "cold limit"
	KeyDepends     = "depends"
)

// Limits of one deployment text. They limit the time to resolve nested groups and
// the size of the placement table, which has one row per replica and at most one
// megabyte.
const (
	MaxServices = 2_000
	MaxReplicas = 10_000
)

// Units, each as a multiple of the base unit of its kind. The base unit of KindShare
// is a thousandth of a percent.
const (
	microsecond = 1
	millisecond = 1000 * microsecond
	second      = 1000 * millisecond
	minute      = 60 * second
	kibibyte    = 1 << 10
	mebibyte    = 1 << 20
	percent     = 1000
)

// leafKeys are the keys that every leaf service needs. A group service must not have
// them in its own section, but may inherit them from its defaults section.
var leafKeys = []KeyRule{
	{Name: KeySlots, Kind: KindCount, Min: 1, Max: 1000, Required: true,
		Text: "requests that one replica runs at the same time"},
	{Name: KeyConnections, Kind: KindCount, Min: 1, Max: 10_000, Required: true,
		Text: "connections that one replica accepts, at least slots"},
	{Name: KeyConnectCost, Kind: KindDuration, Min: 1 * microsecond, Max: 10 * second, Required: true,
		Text: "time that a new connection takes"},
	{Name: KeyColdLimit, Kind: KindCount, Min: 1, Max: 1000, Required: true,
		Text: "requests at the same time while a replica is in cold start, at most slots"},
}

// serviceKeys are the keys that every service needs.
var serviceKeys = []KeyRule{
	{Name: KeyClass, Kind: KindClass, Required: true,
		Text: "class of requests that name none: urgent, ordinary or archive"},
	{Name: KeyDeadline, Kind: KindDuration, Min: 1 * millisecond, Max: 1 * minute, Required: true,
		Text: "time limit of requests that name none"},
	{Name: KeyPartial, Kind: KindYesNo, Required: true,
		Text: "yes if a search may be answered in part, which the answer then says"},
	{Name: KeyActions, Kind: KindYesNo, Required: true,
		Text: "yes if the service accepts requests that may not be repeated"},
}

// Deployment is the schema of deployment texts.
var Deployment = &Schema{Sections: []SectionRule{
	{Kind: SectionDeployment, Required: true, Text: "the deployment as a whole", Keys: []KeyRule{
		{Name: KeyName, Kind: KindName, Required: true, Text: "name of the deployment"},
		{Name: KeyZones, Kind: KindNames, Required: true, Text: "all availability zones"},
		{Name: KeyHedgeExtra, Kind: KindShare, Min: 0, Max: 100 * percent, Required: true,
			Text: "most extra sub-requests that hedges and retries may add"},
	}},
	{Kind: SectionDefaults, Named: true, Text: "keys that services share; a service takes them with like = NAME",
		Keys: concat(serviceKeys, leafKeys)},
	{Kind: SectionService, Named: true, Required: true, Text: "a leaf service (replicas) or a group service (depends)",
		Keys: concat(
			[]KeyRule{{Name: KeyLike, Kind: KindName, Text: "the defaults section whose keys apply unless they are given here; first key of the section"}},
			serviceKeys, leafKeys,
			[]KeyRule{
				{Name: KeyDepends, Kind: KindNames, Text: "services that a search of this group fans out to"},
				{Name: ReplicaKey, Kind: KindReplica, Text: "address and availability zone of replica N; with the word leaving at the end it gets no new work; last keys of the section"},
			})},
}}

func concat(lists ...[]KeyRule) []KeyRule {
	var all []KeyRule
	for _, list := range lists {
		all = append(all, list...)
	}
	return all
}

// LeafOnly reports whether a key applies to leaf services only.
func LeafOnly(key string) bool {
	for _, rule := range leafKeys {
		if rule.Name == key {
			return true
		}
	}
	return false
}
