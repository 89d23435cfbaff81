package bench

import (
	"context"
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/route/pick"
	"github.com/agatestage/agatestage/internal/tool/load"
	"github.com/agatestage/agatestage/internal/tool/world"
)

// BenchmarkRouting compares routers on the same arrivals, through entries and sides
// that run in one process.
func BenchmarkRouting(b *testing.B) {
	const routeSeed = 3
	routers := []struct {
		name  string
		build func(place world.Place) agatestage.Router
	}{
		{"Random", func(world.Place) agatestage.Router { return pick.NewRandom(routeSeed) }},
		{"RoundRobin", func(world.Place) agatestage.Router { return pick.NewRoundRobin() }},
		{"LeastLoaded", func(world.Place) agatestage.Router { return pick.NewLeastLoaded() }},
		{"Affinity", func(place world.Place) agatestage.Router {
			return pick.NewAffinity(place.Region, place.Zone, routeSeed)
		}},
	}
	for range b.N {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "\nrouter\tprefix hits\tfirst token p50\tp95\tp99\tbusiest/mean")
		reports := make(map[string]load.Report)
		for _, router := range routers {
			report, err := load.Run(context.Background(), load.Options{
				Profile: load.Profiles()["lothian"].Scale(0.5), Length: 12 * time.Second, Seed: routeSeed, OnlineOnly: true, Router: router.build,
			})
			if err != nil {
				b.Fatal(err)
			}
			reports[router.name] = report
			fmt.Fprintf(out, "%s\t%.1f%%\t%.3f s\t%.3f s\t%.3f s\t%.2f\n", router.name, 100*report.PrefixHitRate,
				report.FirstTokenP50, report.FirstTokenP95, report.FirstTokenP99, report.LoadSpread)
		}
		_ = out.Flush()
		if reports["Affinity"].PrefixHitRate < reports["Random"].PrefixHitRate {
			b.Errorf("prefix hit rate of affinity routing is below that of random routing")
		}
		if reports["Affinity"].FirstTokenP95 > 1.7 {
			b.Errorf("first token p95 of %.3f s is above the target of 1.7 s", reports["Affinity"].FirstTokenP95)
		}
	}
}
