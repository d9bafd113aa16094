package fleet

// Entry is a kind of entry of a configuration, or one of the lists that hold them.
type Entry uint8

// Kinds of entries. The zero value is the configuration as a whole.
const (
	EntryConfig Entry = iota
	EntryRoutes
	EntryRoute
	EntryServices
	EntryService
	EntryOrganisations
	EntryOrganisation
	EntryLimits
)

// Field is a field of an entry.
type Field uint8

// Fields of entries. The zero value is the entry as a whole.
const (
	FieldNone Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPathPrefix
	FieldKind
	FieldTimeout
	FieldLatencyObjective
	FieldEventGapObjective
	FieldPriority
	FieldTargets
	FieldTargetService
	FieldTargetWeight
	FieldMaxAttempts
	FieldPublic
	FieldResumable
	FieldRegions
	FieldRegion
	FieldHealthPath
	FieldMaxConnections
	FieldColdDuration
	FieldColdRate
	FieldEngine
	FieldStepTime
	FieldKeys
	FieldKey
	FieldMaxHeaderBytes
	FieldMaxBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout

	fieldCount
)

// Fields returns all fields in the order of their values.
func Fields() []Field {
	fields := make([]Field, 0, fieldCount)
	for f := FieldNone; f < fieldCount; f++ {
		fields = append(fields, f)
	}
	return fields
}

// Ref refers to a part of a configuration as it was published.
type Ref struct {
	Entry Entry
	// Index is the number of a route, service or organisation in its list.
	Index int
	Field Field
	// Item is the number of a target, region or key in the list of its entry, for
	// FieldTargetService, FieldTargetWeight, FieldRegion and FieldKey.
	Item int
}
