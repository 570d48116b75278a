package wire

import (
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
	"github.com/crocushinge/crocushinge/zone"
)

// ReportsToProto encodes reports about targets.
func ReportsToProto(reports []service.TargetReport) []*fleetv1.TargetReport {
	out := make([]*fleetv1.TargetReport, len(reports))
	for i, r := range reports {
		out[i] = &fleetv1.TargetReport{
			Service:      r.Target.Service,
			Target:       r.Target.Name,
			Sequence:     r.Report.Sequence,
			Zone:         string(r.Report.Zone),
			Observations: r.Report.Observations,
			Leaving:      r.Report.Leaving,
			LinkCut:      r.Report.LinkCut,
			RateLimit:    float64(r.Report.Limit),
		}
		for _, nats := range r.Report.Total {
			out[i].TotalNats = append(out[i].TotalNats, float32(nats))
		}
	}
	return out
}

// ReportsFromProto decodes reports about targets. It ignores totals of suspicions that
// this version does not know. Totals that are missing in a report are 0.
func ReportsFromProto(reports []*fleetv1.TargetReport) []service.TargetReport {
	out := make([]service.TargetReport, len(reports))
	for i, r := range reports {
		out[i] = service.TargetReport{
			Target: target.Key{Service: r.GetService(), Name: r.GetTarget()},
			Report: target.Report{
				Sequence:     r.GetSequence(),
				Zone:         zone.ID(r.GetZone()),
				Observations: r.GetObservations(),
				Leaving:      r.GetLeaving(),
				LinkCut:      r.GetLinkCut(),
				Limit:        target.NewRateLimit(r.GetRateLimit()),
			},
		}
		totals := r.GetTotalNats()
		for suspicion := range min(len(totals), int(target.Suspicions)) {
			out[i].Report.Total[suspicion] = float64(totals[suspicion])
		}
	}
	return out
}
