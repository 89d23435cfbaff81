package setup

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"

	"github.com/agatestage/agatestage"
)

// maxLedgerItems is the number of items of the largest job that the system is
// designed for.
const maxLedgerItems = 1_000_000

// digestBytes is the length of the digest of an API key.
const digestBytes = 32

// checker validates settings and collects the faults.
type checker struct {
	file     string
	lines    map[string]int
	reported map[string]bool
	faults   Faults
}

// fault records a fault of a field, unless the decoder has already reported one.
func (checker *checker) fault(field, format string, args ...any) {
	if checker.reported[field] {
		return
	}
	checker.faults = append(checker.faults, Fault{
		File:    checker.file,
		Line:    checker.lines[field],
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// settings checks the settings of a process with the given role.
func (checker *checker) settings(settings *Settings, role agatestage.Role) {
	checker.required("Name", settings.Name)
	checker.required("Region", settings.Region)
	checker.required("Zone", settings.Zone)
	if role == agatestage.RoleKeeper {
		checker.url("Platform.Store", settings.Platform.Store)
		return
	}
	checker.address("Listen.Peer", settings.Listen.Peer)
	checker.address("Listen.Metrics", settings.Listen.Metrics)
	checker.limits(settings.Limits)
	if role == agatestage.RoleGateway {
		checker.gateway(settings)
		return
	}
	checker.required("Trust.Folder", settings.Trust.Folder)
	if role == agatestage.RoleEntry {
		checker.entry(settings)
		return
	}
	checker.side(settings)
}

// entry checks the settings that only an entry has.
func (checker *checker) entry(settings *Settings) {
	checker.address("Listen.Caller", settings.Listen.Caller)
	checker.address("Listen.Admin", settings.Listen.Admin)
	checker.url("Platform.Store", settings.Platform.Store)
	checker.url("Platform.Hosts", settings.Platform.Hosts)
	for i, digest := range settings.Trust.OperatorDigests {
		if bytes, err := hex.DecodeString(digest); err != nil || len(bytes) != digestBytes {
			checker.fault("Trust.OperatorDigests", "entry %d is not the hexadecimal form of a %d-byte digest", i, digestBytes)
		}
	}
	checker.bounds(&settings.Bounds)
	if len(settings.Targets) > 0 {
		checker.fault("Targets", "an entry has no targets; they belong in the settings of their side")
	}
}

// gateway checks the settings that only a gateway has.
func (checker *checker) gateway(settings *Settings) {
	checker.address("Listen.Caller", settings.Listen.Caller)
	checker.address("Listen.Ready", settings.Listen.Ready)
	checker.url("Platform.Store", settings.Platform.Store)
	if settings.Zones[settings.Zone] != settings.Region {
		checker.fault("Zones", "zone %q is not in region %q", settings.Zone, settings.Region)
	}
	if settings.Drain.Notice.Duration >= settings.Drain.Limit.Duration {
		checker.fault("Drain.Notice", "must be below Drain.Limit")
	}
}

// bounds checks the limits.
func (checker *checker) bounds(bounds *Bounds) {
	checker.positive("Bounds.BodyBytes", bounds.BodyBytes)
	checker.positive("Bounds.ItemBytes", int64(bounds.ItemBytes))
	checker.positive("Bounds.JobBytes", bounds.JobBytes)
	checker.positive("Bounds.DiskBytes", bounds.DiskBytes)
	checker.positive("Bounds.BodyTime", int64(bounds.BodyTime.Duration))
	checker.positive("Bounds.RequestTime", int64(bounds.RequestTime.Duration))
	checker.positive("Bounds.Retain", int64(bounds.Retain.Duration))
	checker.positive("Bounds.JobItems", int64(bounds.JobItems))
	if bounds.JobItems > maxLedgerItems {
		checker.fault("Bounds.JobItems", "%d is above the largest supported job of %d items", bounds.JobItems, maxLedgerItems)
	}
	if bounds.LimitWait.Duration < 0 {
		checker.fault("Bounds.LimitWait", "is negative")
	}
}

// side checks the settings that only a side has.
func (checker *checker) side(settings *Settings) {
	if len(settings.Targets) == 0 {
		checker.fault("Targets", "a side needs at least one target")
	}
	names := make(map[string]bool)
	for i := range settings.Targets {
		checker.target(fmt.Sprintf("Targets[%d]", i), &settings.Targets[i], names)
	}
}

// target checks one target and fills in its defaults.
func (checker *checker) target(path string, target *Target, names map[string]bool) {
	checker.required(path+".Name", target.Name)
	if names[target.Name] {
		checker.fault(path+".Name", "%q names another target, too", target.Name)
	}
	names[target.Name] = true
	checker.address(path+".Address", target.Address)
	if target.Kind != agatestage.KindEngine && target.Kind != agatestage.KindService {
		checker.fault(path+".Kind", "%q is neither %q nor %q", target.Kind, agatestage.KindEngine, agatestage.KindService)
	}
	if target.Slots == 0 {
		target.Slots = defaultSlots
	}
	if target.Queue == 0 {
		target.Queue = defaultQueue
	}
	if target.Spacing.Duration == 0 {
		target.Spacing.Duration = defaultSpacing
	}
	checker.positive(path+".Slots", int64(target.Slots))
	checker.positive(path+".Queue", int64(target.Queue))
}

func (checker *checker) required(field, value string) {
	if value == "" {
		checker.fault(field, "is required")
	}
}

func (checker *checker) address(field string, value netip.AddrPort) {
	if !value.IsValid() {
		checker.fault(field, "an IP address and port such as 127.0.0.1:7000 is required")
	}
}

func (checker *checker) positive(field string, value int64) {
	if value <= 0 {
		checker.fault(field, "must be above 0")
	}
}

func (checker *checker) url(field, value string) {
	address, err := url.Parse(value)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		checker.fault(field, "%q is not an http or https URL", value)
	}
}
