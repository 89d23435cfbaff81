package model

import (
	"bytes"
	"encoding/json"
	"maps"
	"sort"

	"github.com/pkg/errors"
)

// Kind names a section of the configuration.
type Kind string

// The kinds of configuration objects.
const (
	KindOrganisation Kind = "Organisation"
	KindKey          Kind = "Key"
	KindModel        Kind = "Model"
	KindService      Kind = "Service"
	KindRoute        Kind = "Route"
	KindTarget       Kind = "Target"
)

// Reference identifies one configuration object.
type Reference struct {
	Kind Kind
	Name string
}

// Change sets one object, or removes it if Value is empty.
type Change struct {
	Reference
	Value json.RawMessage `json:",omitempty"`
}

// Intent is the state that an operator requests. Objects that it doesn't mention
// are not changed.
type Intent struct {
	Organisations []Organisation `json:",omitempty"`
	Keys          []Key          `json:",omitempty"`
	Models        []Model        `json:",omitempty"`
	Services      []Service      `json:",omitempty"`
	Routes        []Route        `json:",omitempty"`
	Targets       []Target       `json:",omitempty"`
	Remove        []Reference    `json:",omitempty"`
}

// section accesses the objects of one kind in a document.
type section interface {
	get(document *Document, name string) (json.RawMessage, bool)
	set(document *Document, name string, value json.RawMessage) error
	remove(document *Document, name string)
	cloneMap(document *Document)
}

// typedSection is the section of objects of type T.
type typedSection[T any] struct {
	field func(document *Document) *map[string]T
}

// get returns the object encoded as JSON.
func (section typedSection[T]) get(document *Document, name string) (json.RawMessage, bool) {
	object, ok := (*section.field(document))[name]
	if !ok {
		return nil, false
	}
	// Encoding these types can't fail.
	data, _ := json.Marshal(object)
	return data, true
}

func (section typedSection[T]) set(document *Document, name string, value json.RawMessage) error {
	var object T
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&object); err != nil {
		return err
	}
	(*section.field(document))[name] = object
	return nil
}

func (section typedSection[T]) remove(document *Document, name string) {
	delete(*section.field(document), name)
}

// cloneMap replaces the section's map by a copy, so that it can be modified without
// changing the document that it came from.
func (section typedSection[T]) cloneMap(document *Document) {
	field := section.field(document)
	*field = maps.Clone(*field)
}

var sections = map[Kind]section{
	KindOrganisation: typedSection[Organisation]{func(d *Document) *map[string]Organisation { return &d.Organisations }},
	KindKey:          typedSection[Key]{func(d *Document) *map[string]Key { return &d.Keys }},
	KindModel:        typedSection[Model]{func(d *Document) *map[string]Model { return &d.Models }},
	KindService:      typedSection[Service]{func(d *Document) *map[string]Service { return &d.Services }},
	KindRoute:        typedSection[Route]{func(d *Document) *map[string]Route { return &d.Routes }},
	KindTarget:       typedSection[Target]{func(d *Document) *map[string]Target { return &d.Targets }},
}

// Apply returns the next revision, with the changes applied. It only checks that
// the changes can be decoded; Check validates the result.
func (document *Document) Apply(changes []Change) (*Document, error) {
	next := *document
	next.Revision++
	cloned := make(map[Kind]bool)
	for _, change := range changes {
		section, ok := sections[change.Kind]
		if !ok {
			return nil, errors.Errorf("%s %q: unknown kind", change.Kind, change.Name)
		}
		if !cloned[change.Kind] {
			section.cloneMap(&next)
			cloned[change.Kind] = true
		}
		if len(change.Value) == 0 {
			section.remove(&next, change.Name)
			continue
		}
		if err := section.set(&next, change.Name, change.Value); err != nil {
			return nil, errors.Wrapf(err, "%s %q", change.Kind, change.Name)
		}
	}
	var err error
	if next.Digest, err = chainDigest(document.Digest, changes); err != nil {
		return nil, err
	}
	next.reindex()
	return &next, nil
}

// Get returns the object that a reference names, encoded as JSON.
func (document *Document) Get(reference Reference) (json.RawMessage, bool) {
	section, ok := sections[reference.Kind]
	if !ok {
		return nil, false
	}
	return section.get(document, reference.Name)
}

// Changes returns the changes that the intent makes to the document, sorted by kind
// and name, and the faults of the intent itself.
func (intent Intent) Changes(document *Document) (changes []Change, faults Faults) {
	collector := collector{document: document, seen: make(map[Reference]bool)}
	collect(&collector, KindOrganisation, intent.Organisations, func(o Organisation) string { return o.Name })
	collect(&collector, KindKey, intent.Keys, func(k Key) string { return k.Name })
	collect(&collector, KindModel, intent.Models, func(m Model) string { return m.Name })
	collect(&collector, KindService, intent.Services, func(s Service) string { return s.Name })
	collect(&collector, KindRoute, intent.Routes, func(r Route) string { return r.Name })
	collect(&collector, KindTarget, intent.Targets, func(t Target) string { return t.Name })
	for _, reference := range intent.Remove {
		collector.remove(reference)
	}
	sort.SliceStable(collector.changes, func(i, j int) bool {
		a, b := collector.changes[i].Reference, collector.changes[j].Reference
		return a.Kind < b.Kind || a.Kind == b.Kind && a.Name < b.Name
	})
	return collector.changes, collector.faults
}

// collector collects the changes and faults of an intent.
type collector struct {
	document *Document
	seen     map[Reference]bool
	changes  []Change
	faults   Faults
}

// collect adds changes that set the objects to the collector.
func collect[T any](collector *collector, kind Kind, objects []T, name func(T) string) {
	for _, object := range objects {
		// Encoding these types can't fail.
		data, _ := json.Marshal(object)
		collector.add(Change{Reference: Reference{kind, name(object)}, Value: data})
	}
}

// add adds a change unless the document already has the value.
func (collector *collector) add(change Change) {
	if !collector.markSeen(change.Reference) {
		return
	}
	before, ok := collector.document.Get(change.Reference)
	if ok && bytes.Equal(before, change.Value) {
		return
	}
	collector.changes = append(collector.changes, change)
}

// remove adds the removal of an object, or a fault if the object does not exist.
func (collector *collector) remove(reference Reference) {
	if !collector.markSeen(reference) {
		return
	}
	if _, ok := collector.document.Get(reference); !ok {
		collector.faults.add(reference, "", "doesn't exist, so it can't be removed")
		return
	}
	collector.changes = append(collector.changes, Change{Reference: reference})
}

// markSeen marks an object as mentioned by the intent. It returns false and adds a
// fault if the object has been mentioned before.
func (collector *collector) markSeen(reference Reference) bool {
	if collector.seen[reference] {
		collector.faults.add(reference, "", "is mentioned twice")
		return false
	}
	collector.seen[reference] = true
	return true
}

// AllChanges returns the changes that create the document from an empty one.
func (document *Document) AllChanges() []Change {
	intent := Intent{
		Organisations: mapValues(document.Organisations),
		Keys:          mapValues(document.Keys),
		Models:        mapValues(document.Models),
		Services:      mapValues(document.Services),
		Routes:        mapValues(document.Routes),
		Targets:       mapValues(document.Targets),
	}
	// Names are unique within a kind, so there are no faults.
	changes, _ := intent.Changes(Empty())
	return changes
}

func mapValues[T any](objects map[string]T) []T {
	list := make([]T, 0, len(objects))
	for _, object := range objects {
		list = append(list, object)
	}
	return list
}
