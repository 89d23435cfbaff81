package model

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// Fault is one validation error of a configuration.
type Fault struct {
	Reference
	Field   string
	Message string
}

// Error implements error.
func (fault Fault) Error() string {
	path := fmt.Sprintf("%s %q", fault.Kind, fault.Name)
	if fault.Field != "" {
		path += "." + fault.Field
	}
	return path + ": " + fault.Message
}

// Faults is the list of a configuration's validation errors. It is an error if not
// empty.
type Faults []Fault

// Error implements error. It returns one fault per line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

func (faults *Faults) add(reference Reference, field, format string, args ...any) {
	*faults = append(*faults, Fault{reference, field, fmt.Sprintf(format, args...)})
}

// maxNameBytes bounds the length of names.
const maxNameBytes = 128

// validName matches valid names. The characters are restricted because names are
// used in URLs and files.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@-]*$`)

// digestBytes is the length of a key's digest.
const digestBytes = 32

// Check validates the document and returns all of its faults, sorted by their text.
func (document *Document) Check() Faults {
	var faults Faults
	for name, organisation := range document.Organisations {
		organisation.check(&faults, Reference{KindOrganisation, name})
	}
	for name, key := range document.Keys {
		document.checkKey(&faults, Reference{KindKey, name}, key)
	}
	for name := range document.Models {
		checkName(&faults, Reference{KindModel, name})
	}
	for name := range document.Services {
		checkName(&faults, Reference{KindService, name})
	}
	for name, route := range document.Routes {
		document.checkRoute(&faults, Reference{KindRoute, name}, route)
	}
	for name, target := range document.Targets {
		document.checkTarget(&faults, Reference{KindTarget, name}, target)
	}
	document.checkUnique(&faults)
	sort.Slice(faults, func(i, j int) bool { return faults[i].Error() < faults[j].Error() })
	return faults
}

func checkName(faults *Faults, reference Reference) {
	if len(reference.Name) > maxNameBytes || !validName.MatchString(reference.Name) {
		faults.add(reference, "Name", "must be 1 to %d letters, digits or any of . _ : @ -", maxNameBytes)
	}
}

func (organisation Organisation) check(faults *Faults, reference Reference) {
	checkName(faults, reference)
	if organisation.Rate <= 0 {
		faults.add(reference, "Rate", "must be above 0 requests a second")
	}
	if organisation.Burst < 1 {
		faults.add(reference, "Burst", "must be at least 1 request")
	}
	if organisation.Weight < 0 {
		faults.add(reference, "Weight", "is negative")
	}
}

func (document *Document) checkKey(faults *Faults, reference Reference, key Key) {
	checkName(faults, reference)
	if digest, err := hex.DecodeString(key.Digest); err != nil || len(digest) != digestBytes {
		faults.add(reference, "Digest", "is not the hexadecimal form of %d bytes", digestBytes)
	}
	if key.Operator {
		return
	}
	if _, ok := document.Organisations[key.Organisation]; !ok {
		faults.add(reference, "Organisation", "organisation %q doesn't exist", key.Organisation)
	}
}

func (document *Document) checkRoute(faults *Faults, reference Reference, route Route) {
	checkName(faults, reference)
	if (route.Model == "") == (route.Service == "") {
		faults.add(reference, "", "must name either a model or a service")
	}
	if _, ok := document.Models[route.Model]; route.Model != "" && !ok {
		faults.add(reference, "Model", "model %q doesn't exist", route.Model)
	}
	if _, ok := document.Services[route.Service]; route.Service != "" && !ok {
		faults.add(reference, "Service", "service %q doesn't exist", route.Service)
	}
	for _, name := range route.Organisations {
		if _, ok := document.Organisations[name]; !ok {
			faults.add(reference, "Organisations", "organisation %q doesn't exist", name)
		}
	}
	if route.Batch && route.Open {
		faults.add(reference, "Batch", "an open route can't take batch jobs, which belong to an organisation")
	}
	if min(route.Timeout.Duration, route.FirstByte.Duration, route.Between.Duration) < 0 {
		faults.add(reference, "Timeout", "time-outs must not be negative")
	}
}

func (document *Document) checkTarget(faults *Faults, reference Reference, target Target) {
	checkName(faults, reference)
	for _, name := range target.Models {
		if _, ok := document.Models[name]; !ok {
			faults.add(reference, "Models", "model %q doesn't exist", name)
		}
	}
	for _, name := range target.Services {
		if _, ok := document.Services[name]; !ok {
			faults.add(reference, "Services", "service %q doesn't exist", name)
		}
	}
}

// checkUnique checks that no two routes are for the same model or service, because
// callers name the model or service and not the route.
func (document *Document) checkUnique(faults *Faults) {
	for name, route := range document.Routes {
		reference := Reference{KindRoute, name}
		if first := document.index.models[route.Model]; route.Model != "" && first != name {
			faults.add(reference, "Model", "route %q opens model %q, too", first, route.Model)
		}
		if first := document.index.services[route.Service]; route.Service != "" && first != name {
			faults.add(reference, "Service", "route %q opens service %q, too", first, route.Service)
		}
	}
}
