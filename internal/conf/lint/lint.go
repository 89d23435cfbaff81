// Package lint checks a configuration of gateways and compares it with another one.
//
// It finds what the product accepts but can't act on as it reads: entries that can never
// matter, and limits that contradict each other. Where the product decides, as on the route of a
// path, the check asks rules.Snapshot, so that both can't differ. It knows nothing of the
// format in which operators write a configuration: each finding has a Place, for which the
// package that decodes the format has the path and the position.
package lint

import (
	"github.com/agatestage/agatestage/internal/gate/rules"
)

// MaxFindings bounds the findings of one rule. A file of 50,000 organisations may have the same
// fault in each.
const MaxFindings = 100

// Rule names what a finding is about.
type Rule string

// The rules of this package. Those that need the operators' format are defined where it is
// decoded.
const (
	// Entries that the product treats otherwise than they read.
	RuleVersion       Rule = "Version"
	RuleName          Rule = "Name"
	RuleDuplicateName Rule = "DuplicateName"
	RuleDuplicateKey  Rule = "DuplicateKey"
	RuleNegative      Rule = "Negative"
	// Entries that can never matter.
	RuleShadowedRoute      Rule = "ShadowedRoute"
	RuleUnmatchedRoute     Rule = "UnmatchedRoute"
	RuleEmptySplit         Rule = "EmptySplit"
	RuleEmptyShare         Rule = "EmptyShare"
	RuleUnknownService     Rule = "UnknownService"
	RuleUnusedService      Rule = "UnusedService"
	RuleUnusedOrganisation Rule = "UnusedOrganisation"
	RuleUnusedKey          Rule = "UnusedKey"
	// Limits that contradict each other.
	RuleAttempts        Rule = "Attempts"
	RuleDeadline        Rule = "Deadline"
	RuleRate            Rule = "Rate"
	RuleConnections     Rule = "Connections"
	RuleColdStart       Rule = "ColdStart"
	RuleBounds          Rule = "Bounds"
	RuleRegions         Rule = "Regions"
	RuleUnknownRegion   Rule = "UnknownRegion"
	RuleExcludedTargets Rule = "ExcludedTargets"
)

// Kind is a kind of entry.
type Kind string

// The kinds of entries.
const (
	KindConfiguration Kind = "Configuration"
	KindRoute         Kind = "Route"
	KindService       Kind = "Service"
	KindOrganisation  Kind = "Organisation"
	KindBounds        Kind = "Bounds"
)

// Field is a field of an entry, by its name in package rules, or empty for the whole entry.
type Field string

// The fields that findings are about.
const (
	FieldNone        Field = ""
	FieldVersion     Field = "Version"
	FieldName        Field = "Name"
	FieldHost        Field = "Host"
	FieldPrefix      Field = "Prefix"
	FieldShares      Field = "Shares"
	FieldAttempts    Field = "Attempts"
	FieldTimeout     Field = "Timeout"
	FieldDue         Field = "Due"
	FieldGiveUp      Field = "GiveUp"
	FieldRegions     Field = "Regions"
	FieldConnections Field = "Connections"
	FieldSlots       Field = "Slots"
	FieldTokens      Field = "Tokens"
	FieldColdStart   Field = "ColdStart"
	FieldColdRate    Field = "ColdRate"
	FieldKeys        Field = "Keys"
	FieldRate        Field = "Rate"
	FieldBurst       Field = "Burst"
	FieldHeaderBytes Field = "HeaderBytes"
	FieldBodyBytes   Field = "BodyBytes"
	FieldHeaderTime  Field = "HeaderTime"
	FieldIdleTime    Field = "IdleTime"
)

// Place is where in a configuration something is.
type Place struct {
	Kind Kind
	// Index is that of the entry among those of its kind.
	Index int
	Field Field
	// Part is the number of an element of the field, counted from 1; 0 is the whole field.
	Part int
}

// Finding is one fault of a configuration.
type Finding struct {
	Rule  Rule
	Place Place
	// Name is that of the entry; empty if it has none.
	Name    string
	Message string
}

// Key is a key of an organisation.
type Key struct {
	// Organisation is the index of the organisation, Part the number of the key there from 1.
	Organisation int
	Part         int
	// ID is the beginning of the key's digest, by which the keys of an organisation are told apart
	// in what is shown; empty for an empty key.
	ID     string
	Digest rules.Digest
}

// Source is a decoded configuration.
type Source struct {
	Content rules.Content
	// Keys are the keys in their order. Content has them only by their digest.
	Keys []Key
}

// Fleet is what a running gateway knows of its fleet.
type Fleet struct {
	// InForce is true if a gateway was asked, which says what is in force.
	InForce bool
	// Regions are all regions that have zones; none if no gateway was asked.
	Regions []string
	// Targets are the regions with targets of each service.
	Targets map[string][]string
}

// Findings are the findings of a configuration, at most MaxFindings of each rule.
type Findings struct {
	List []Finding
	// Counts is the number of findings of each rule, those that aren't listed included.
	Counts map[Rule]int
}

// Add adds a finding.
func (findings *Findings) Add(finding Finding) {
	if findings.Counts == nil {
		findings.Counts = make(map[Rule]int)
	}
	if findings.Counts[finding.Rule]++; findings.Counts[finding.Rule] <= MaxFindings {
		findings.List = append(findings.List, finding)
	}
}

// Omitted returns how many findings of each rule aren't listed.
func (findings *Findings) Omitted() map[Rule]int {
	omitted := make(map[Rule]int)
	for rule, count := range findings.Counts {
		if count > MaxFindings {
			omitted[rule] = count - MaxFindings
		}
	}
	return omitted
}

// checker checks one configuration.
type checker struct {
	Source
	*Findings
	snapshot *rules.Snapshot
	fleet    Fleet
}

// Check adds the findings of a configuration, for a fleet if one is known.
func Check(source Source, fleet Fleet, findings *Findings) {
	checker := &checker{Source: source, Findings: findings, snapshot: rules.New(source.Content), fleet: fleet}
	checker.checkEntries()
	checker.checkRoutes()
	checker.checkUse()
	checker.checkLimits()
	checker.checkRegions()
}
