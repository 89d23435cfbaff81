package lint

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/agatestage/agatestage/internal/gate/rules"
)

// Change is how an entry differs.
type Change string

// The changes.
const (
	ChangeAdded   Change = "Added"
	ChangeRemoved Change = "Removed"
	ChangeChanged Change = "Changed"
)

// Difference is one way in which a configuration differs from the one before.
type Difference struct {
	Change Change
	Kind   Kind
	// Name is that of the entry, Field the field that differs; empty if all of it does.
	Name   string `json:",omitempty"`
	Field  Field  `json:",omitempty"`
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}

// Compare returns how a configuration differs from the one before: by kind, and by name in the
// order of the new one, with removed entries last. Entries are compared as the product uses
// them. Of services and organisations with the same name only the last one counts.
func Compare(before, after Source) []Difference {
	var differences []Difference
	if before.Content.Version != after.Content.Version {
		differences = append(differences, Difference{ChangeChanged, KindConfiguration, "", FieldVersion, fmt.Sprint(before.Content.Version), fmt.Sprint(after.Content.Version)})
	}
	differences = append(differences, compareEntries(KindRoute, numbered(before.Content.Routes), numbered(after.Content.Routes))...)
	differences = append(differences, compareEntries(KindService, last(before.Content.Services, serviceName), last(after.Content.Services, serviceName))...)
	differences = append(differences, compareEntries(KindOrganisation, last(before.Content.Organisations, organisationName), last(after.Content.Organisations, organisationName))...)
	differences = append(differences, compareKeys(before, after)...)
	return append(differences, compareFields(KindBounds, "", reflect.ValueOf(before.Content.Bounds), reflect.ValueOf(after.Content.Bounds), "")...)
}

func serviceName(service rules.Service) string                { return service.Name }
func organisationName(organisation rules.Organisation) string { return organisation.Name }

// named is an entry with a name that no other entry of its kind has.
type named[T any] struct {
	name  string
	entry T
}

// numbered returns routes by name; the second one of a name is called NAME#2.
func numbered(routes []rules.Route) (entries []named[rules.Route]) {
	seen := make(map[string]int)
	for _, route := range routes {
		name := route.Name
		if seen[name]++; seen[name] > 1 {
			name = fmt.Sprintf("%s#%d", name, seen[name])
		}
		entries = append(entries, named[rules.Route]{name, route})
	}
	return entries
}

// last returns entries by name, the last one of each.
func last[T any](all []T, name func(T) string) (entries []named[T]) {
	places := make(map[string]int, len(all))
	for _, entry := range all {
		if place, ok := places[name(entry)]; ok {
			entries[place].entry = entry
			continue
		}
		places[name(entry)] = len(entries)
		entries = append(entries, named[T]{name(entry), entry})
	}
	return entries
}

// compareEntries compares the entries of a kind.
func compareEntries[T any](kind Kind, before, after []named[T]) (differences []Difference) {
	earlier := make(map[string]T, len(before))
	for _, entry := range before {
		earlier[entry.name] = entry.entry
	}
	for _, entry := range after {
		old, ok := earlier[entry.name]
		if !ok {
			differences = append(differences, Difference{Change: ChangeAdded, Kind: kind, Name: entry.name})
			continue
		}
		delete(earlier, entry.name)
		differences = append(differences, compareFields(kind, entry.name, reflect.ValueOf(old), reflect.ValueOf(entry.entry), "")...)
	}
	for _, entry := range before {
		if _, ok := earlier[entry.name]; ok {
			differences = append(differences, Difference{Change: ChangeRemoved, Kind: kind, Name: entry.name})
		}
	}
	return differences
}

// compareFields compares the fields of an entry.
func compareFields(kind Kind, name string, before, after reflect.Value, path string) (differences []Difference) {
	for i := range before.NumField() {
		field := before.Type().Field(i)
		old, current := before.Field(i), after.Field(i)
		switch {
		case path == "" && field.Name == "Name", reflect.DeepEqual(old.Interface(), current.Interface()):
		case old.Kind() == reflect.Struct:
			differences = append(differences, compareFields(kind, name, old, current, path+field.Name+".")...)
		default:
			if before, after := show(old), show(current); before != after {
				differences = append(differences, Difference{ChangeChanged, kind, name, Field(path + field.Name), before, after})
			}
		}
	}
	return differences
}

// show returns a value as text. Lists are shown with commas.
func show(value reflect.Value) string {
	if value.Kind() != reflect.Slice {
		return fmt.Sprint(value.Interface())
	}
	parts := make([]string, value.Len())
	for i := range parts {
		switch element := value.Index(i).Interface().(type) {
		case rules.WeightedService:
			parts[i] = fmt.Sprintf("%s:%d", element.Service, element.Weight)
		default:
			parts[i] = fmt.Sprint(element)
		}
	}
	return strings.Join(parts, ",")
}

// compareKeys compares the keys of organisations that both configurations have.
func compareKeys(before, after Source) (differences []Difference) {
	old, current := before.keysByName(), after.keysByName()
	for name, keys := range current {
		earlier, ok := old[name]
		if !ok {
			continue
		}
		for id := range keys {
			if !earlier[id] {
				differences = append(differences, Difference{Change: ChangeAdded, Kind: KindOrganisation, Name: name, Field: FieldKeys, After: id})
			}
		}
		for id := range earlier {
			if !keys[id] {
				differences = append(differences, Difference{Change: ChangeRemoved, Kind: KindOrganisation, Name: name, Field: FieldKeys, Before: id})
			}
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(string(a.Change), string(b.Change)), strings.Compare(a.Before+a.After, b.Before+b.After))
	})
	return differences
}

// keysByName returns the IDs of the keys of each organisation.
func (source Source) keysByName() map[string]map[string]bool {
	names := make(map[string]map[string]bool, len(source.Content.Organisations))
	for _, organisation := range source.Content.Organisations {
		if names[organisation.Name] == nil {
			names[organisation.Name] = make(map[string]bool)
		}
	}
	for _, key := range source.Keys {
		if key.ID != "" {
			names[source.Content.Organisations[key.Organisation].Name][key.ID] = true
		}
	}
	return names
}
