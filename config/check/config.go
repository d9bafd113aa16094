package check

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// Document is a configuration of the users' platform as it was read from a file or from the
// store.
type Document struct {
	// Config is nil if the document can't be decoded.
	Config *fleet.Config
	// Faults says why the document can't be decoded.
	Faults []Remark
	// Remarks says where the document holds something else than what was decoded.
	Remarks []Remark
	// ServiceNames holds the names of the services in their order, repeated ones included.
	ServiceNames []string
	// RecordBytes is the size of the record that holds the document in the store.
	RecordBytes int
	// Locate returns the place of a part of the document.
	Locate func(fleet.Ref) Place
}

// Remark is what the decoder of a document has found.
type Remark struct {
	Code    Code
	Place   Place
	Message string
}

// Deployment is what the settings of the platform tell about a deployment.
type Deployment struct {
	// Regions holds the regions of the failure domains.
	Regions fleet.Regions
	// MemoryBytes is the memory of the smallest known instance, or 0 if it isn't known.
	MemoryBytes int64
	// MaxRecordBytes is the size of the largest record that the store takes.
	MaxRecordBytes int
	// RetryRatio and RetryExtra bound the retries of all gateways together.
	RetryRatio, RetryExtra float64
}

// ConfigCheck is a check of a configuration.
type ConfigCheck struct {
	// File is the name of the file that holds Document.
	File     string
	Document Document
	// Against is the version that the new one replaces, or nil. It must have a Config.
	Against *Document
	// AgainstSource names the source of Against.
	AgainstSource string
	// Deployment is nil if the settings of the platform aren't known.
	Deployment *Deployment
}

// Run returns the findings.
func (c ConfigCheck) Run() Report {
	r := Report{Checked: Version{Source: c.File}}
	if c.Against != nil {
		r.Against = &Version{Source: c.AgainstSource, Number: c.Against.Config.Version}
	}
	if c.Deployment == nil {
		r.NotChecked = []string{"allowed regions", "memory of an instance", "retry ratio", "record size of the store"}
	}
	f := &configFindings{ConfigCheck: c, lastService: make(map[string]int)}
	for i, name := range c.Document.ServiceNames {
		f.lastService[name] = i
	}
	f.addRemarks(c.Document.Faults)
	if c.Document.Config != nil {
		r.Checked.Number = c.Document.Config.Version
		f.addAll()
	}
	r.finish(f.list)
	return r
}

// configFindings collects the findings of a check whose document was decoded.
type configFindings struct {
	ConfigCheck
	// lastService holds the index of the definition of each service that counts.
	lastService map[string]int
	list        []Finding
}

func (f *configFindings) config() *fleet.Config { return f.Document.Config }

func (f *configFindings) addAll() {
	f.addRefusals()
	f.addRemarks(f.Document.Remarks)
	if f.config().Version <= 0 {
		f.add(NoVersion, fleet.Ref{Field: fleet.FieldVersion}, "the version is missing or not positive, so processes with any other configuration ignore it")
	}
	f.checkRoutes()
	f.checkTargets()
	f.checkServices()
	f.checkOrganisations()
	f.checkRegions()
	f.checkTimes()
	f.checkEngines()
	f.checkLimits()
	f.checkDeployment()
	if f.Against != nil {
		f.compare()
	}
}

// add adds a finding about a part of the document.
func (f *configFindings) add(code Code, ref fleet.Ref, format string, args ...any) {
	place := f.Document.Locate(ref)
	place.File = f.File
	f.list = append(f.list, newFinding(code, place, format, args...))
}

func (f *configFindings) addRemarks(remarks []Remark) {
	for _, r := range remarks {
		r.Place.File = f.File
		f.list = append(f.list, newFinding(r.Code, r.Place, "%s", r.Message))
	}
}

// addRefusals adds what the processes refuse.
func (f *configFindings) addRefusals() {
	for _, r := range f.config().Refusals() {
		f.add(Unservable, r.Ref, "%s", r.Reason)
	}
	if f.Against == nil || f.config().Supersedes(f.Against.Config) || reflect.DeepEqual(f.config(), f.Against.Config) {
		return
	}
	f.add(VersionNotHigher, fleet.Ref{Field: fleet.FieldVersion},
		"version %d isn't higher than version %d, so the processes ignore it", f.config().Version, f.Against.Config.Version)
}

func routeRef(i int, field fleet.Field) fleet.Ref {
	return fleet.Ref{Entry: fleet.EntryRoute, Index: i, Field: field}
}

func serviceRef(i int, field fleet.Field) fleet.Ref {
	return fleet.Ref{Entry: fleet.EntryService, Index: i, Field: field}
}

func organisationRef(i int, field fleet.Field) fleet.Ref {
	return fleet.Ref{Entry: fleet.EntryOrganisation, Index: i, Field: field}
}

func limitsRef(field fleet.Field) fleet.Ref {
	return fleet.Ref{Entry: fleet.EntryLimits, Field: field}
}

// item returns a reference to a target, region or key of the entry.
func item(ref fleet.Ref, n int) fleet.Ref {
	ref.Item = n
	return ref
}

// routeName returns how a route is called in messages.
func routeName(r *fleet.Route) string {
	if r.Name != "" {
		return "route " + word(r.Name)
	}
	return "route " + word(r.Host) + " " + word(r.PathPrefix)
}

// word returns a text of the operators as it can stand in a sentence.
func word(text string) string {
	quoted := strconv.Quote(text)
	if text == "" || strings.Contains(text, " ") || quoted != `"`+text+`"` {
		return quoted
	}
	return text
}

// maxListed is the number of names that a message lists.
const maxListed = 5

// words returns a list of texts for a sentence.
func words(list []string) string {
	shown := make([]string, 0, maxListed)
	for _, text := range list[:min(len(list), maxListed)] {
		shown = append(shown, word(text))
	}
	if more := len(list) - len(shown); more > 0 {
		shown = append(shown, fmt.Sprintf("%d more", more))
	}
	return enumerate(shown)
}

// enumerate returns a list as it stands in a sentence.
func enumerate(list []string) string {
	if len(list) < 2 {
		return strings.Join(list, "")
	}
	last := len(list) - 1
	return strings.Join(list[:last], ", ") + " and " + list[last]
}

// plural returns a number with its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}
