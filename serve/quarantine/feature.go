package quarantine

// FeatureKind is the kind of a Feature.
type FeatureKind uint8

// Feature kinds.
const (
	// WholeRequest is the request itself, by its fingerprint.
	WholeRequest FeatureKind = iota + 1
	// PromptPart is a part of the prompt that other requests may have as well.
	PromptPart
)

// String returns the name of the kind in logs.
func (k FeatureKind) String() string {
	switch k {
	case WholeRequest:
		return "request"
	case PromptPart:
		return "prompt part"
	default:
		return "unknown feature"
	}
}

// Feature is a property of a request that may be what crashes backend servers.
type Feature struct {
	Service string
	Kind    FeatureKind
	// ID is the organisation and the body hash of a whole request, or the ID of a
	// prompt part.
	ID string
}

// Features returns the features of a request. promptParts are the IDs of the parts of
// its prompt that other requests may have as well.
func Features(f Fingerprint, promptParts []string) []Feature {
	features := make([]Feature, 0, 1+len(promptParts))
	features = append(features, Feature{Service: f.Service, Kind: WholeRequest, ID: f.Organisation + "/" + f.BodyHash})
	for _, id := range promptParts {
		features = append(features, Feature{Service: f.Service, Kind: PromptPart, ID: id})
	}
	return features
}

// FeatureNames returns the names of features in logs.
func FeatureNames(features []Feature) []string {
	names := make([]string, len(features))
	for i, f := range features {
		names[i] = f.Kind.String() + " " + f.ID
	}
	return names
}
