package sidecar

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"zinniafall/node/front"
	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/statedlimit"
)

var (
	configurationsRejected = metrics.NewCounter(`zinniafall_configuration_rejected_total`)
	panics                 = metrics.NewCounter(`zinniafall_panics_total`)
	retries                = metrics.NewCounter(`zinniafall_call_repeats_total`)
	// bodiesLost counts the calls that were refused after their body had been read.
	bodiesLost       = metrics.NewCounter(`zinniafall_consumed_bodies_refused_total`)
	requestsRejected = metrics.NewCounter(`zinniafall_request_rejected_total`)
	admissionWait    = metrics.NewHistogram(`zinniafall_admission_wait_seconds`)
	targetTime       = metrics.NewHistogram(`zinniafall_target_seconds`)
	callTime         = metrics.NewHistogram(`zinniafall_call_seconds`)

	// callsOverdue counts the refusals of calls by nodes that are behind for too long.
	callsOverdue = metrics.NewCounter(`zinniafall_calls_overdue_total`)

	// What was restored in the store after it returned from a copy.
	entriesRestored     = metrics.NewCounter(`zinniafall_store_restored_total{kind="entry"}`)
	evacuationsRestored = metrics.NewCounter(`zinniafall_store_restored_total{kind="evacuation"}`)

	// Transfers of the configuration between nodes. The bytes sent are those of
	// transfers that were begun.
	configurationTransfersComplete = metrics.NewCounter(`zinniafall_configuration_transfers_total{result="complete"}`)
	configurationTransfersFailed   = metrics.NewCounter(`zinniafall_configuration_transfers_total{result="failed"}`)
	configurationTransfersBusy     = metrics.NewCounter(`zinniafall_configuration_transfers_total{result="busy"}`)
	// configurationStoreReads counts the reads of the store by nodes that leave it to
	// others otherwise.
	configurationStoreReads     = metrics.NewCounter(`zinniafall_configuration_store_reads_total`)
	configurationBytesReceived  = metrics.NewCounter(`zinniafall_configuration_received_bytes_total`)
	configurationBytesDiscarded = metrics.NewCounter(`zinniafall_configuration_discarded_bytes_total`)
	configurationBytesSent      = metrics.NewCounter(`zinniafall_configuration_sent_bytes_total`)
)

// logCall logs the outcome of a caller's request.
func (n *Node) logCall(ctx context.Context, c *call, r *front.Request, response *front.Response, p *problem.Error) {
	elapsed := time.Since(c.received)
	callTime.Update(elapsed.Seconds())
	attrs := []any{
		"part", "entry", "request", c.id, "method", r.Method, "path", r.Path(), "host", r.Host,
		"status", response.Status, "ms", elapsed.Seconds() * 1000, "attempts", c.attemptRecords,
	}
	if c.route != nil {
		attrs = append(attrs, "route", c.route.Name, "service", c.service, "revision", c.table.Revision,
			"idempotent", c.route.Idempotent, "targets_known", n.fleet.targetCount(c.service),
			"targets_asked", len(c.declined), "targets_failed", len(c.failed), "budget_ms", c.deadline.Sub(c.received).Milliseconds())
	}
	if c.account != "" {
		attrs = append(attrs, "account", c.account, "priority", c.request.Priority)
	}
	outcome := "answered"
	if p != nil {
		outcome = string(p.Kind)
		attrs = append(attrs, "run", p.Run, "detail", p.Detail, "retry_after", response.Header.Get("Retry-After"),
			"configuration_age_ms", n.configuration.age(time.Now()).Milliseconds(), "caller_left", ctx.Err() != nil)
		if c.table != nil && c.route == nil {
			attrs = append(attrs, "revision", c.table.Revision, "revision_reported", n.configuration.newestReported())
		}
	}
	metrics.GetOrCreateCounter(`zinniafall_requests_total{outcome="` + outcome + `"}`).Inc()
	if c.account != "" {
		n.accounts.count(c.account, outcome)
	}
	n.log.Info("request "+outcome, attrs...)
}

// logOwnerCall logs the owner's decision on a call.
func (n *Node) logOwnerCall(r *peer.Request, a *peer.Answer, waited, took time.Duration, report model.Report) {
	in := n.owner.decisionInputs()
	id, _, _ := n.target.identity()
	attrs := []any{
		"part", "owner", "request", r.ID, "from", r.From, "target", id, "run", a.Run, "status", a.Status,
		"pace", in.pace, "pace_age_ms", in.paceAge.Milliseconds(), "cold_left_ms", in.cold.Milliseconds(),
		"wait_ms", waited.Seconds() * 1000, "ms", took.Seconds() * 1000,
		"revision", report.Revision, "in_flight", report.InFlight, "queued", report.Queued, "limit", report.Limit,
		"target_state", report.State.String(), "stated_limit", statedLimitText(in.statedLimit), "priority", r.Priority, "elsewhere", r.Elsewhere, "hold", r.Hold, "objective_ms", r.Objective.Milliseconds(),
	}
	if r.Account != "" {
		attrs = append(attrs, "account", r.Account)
		if share, ok := n.owner.share(r.Account); ok {
			attrs = append(attrs, "account_slots", share.Held, "account_share", shareText(share.Most), "slots_kept", share.Kept)
		}
	}
	if r.Bulk {
		attrs = append(attrs, "bulk", true)
	}
	if p := a.Problem; p != nil {
		attrs = append(attrs, "problem", p.Kind, "detail", p.Detail)
	}
	n.log.Info("call at owner", attrs...)
}

// logPanic logs a panic that ended the handling of one message only.
func (n *Node) logPanic(value any, stack []byte) {
	panics.Inc()
	n.log.Error("message caused a panic", "part", "node", "panic", fmt.Sprint(value), "stack", string(stack))
}

// shareText returns the number of slots that an account may hold, for the log.
func shareText(most float64) string {
	if math.IsInf(most, 1) {
		return "any"
	}
	return strconv.FormatFloat(most, 'f', 1, 64)
}

// statedLimitText returns a stated limit for the log, in requests per second.
func statedLimitText(limit float64) string {
	if limit == statedlimit.Unlimited {
		return "none"
	}
	return strconv.FormatFloat(limit, 'g', -1, 64)
}

// serveMetrics writes the metrics in the Prometheus text format. The node's own
// gauges come first: a collector that limits the size cuts off the process metrics.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

// registerGauges registers the gauges that are read when metrics are fetched.
func (n *Node) registerGauges(release string) {
	n.metrics.NewGauge(fmt.Sprintf(`zinniafall_build_info{release=%q}`, release), func() float64 { return 1 })
	n.healthRequests = n.metrics.NewCounter(`zinniafall_target_health_requests_total`)
	n.metrics.NewGauge(`zinniafall_target_stated_limit`, func() float64 { return n.owner.statedLimit() })
	n.metrics.NewGauge(`zinniafall_configuration_revision`, func() float64 { return float64(n.configuration.revision()) })
	n.metrics.NewGauge(`zinniafall_configuration_revision_reported`, func() float64 { return float64(n.configuration.newestReported()) })
	n.metrics.NewGauge(`zinniafall_configuration_unconfirmed_seconds`, n.configuration.unconfirmedSeconds)
	n.metrics.NewGauge(`zinniafall_configuration_bytes`, func() float64 { return float64(n.configuration.documentBytes()) })
	n.metrics.NewGauge(`zinniafall_configuration_parts_not_understood`, func() float64 {
		if table := n.configuration.current(); table != nil {
			return float64(len(table.Problems))
		}
		return 0
	})
	n.metrics.NewGauge(`zinniafall_store_followed`, func() float64 {
		if n.fleet.follower.readable.Load() {
			return 1
		}
		return 0
	})
	n.metrics.NewGauge(`zinniafall_store_era`, func() float64 {
		era, _ := n.store.Era()
		return float64(era)
	})
	n.metrics.NewGauge(`zinniafall_fleet_nodes`, func() float64 { return float64(n.fleet.size()) })
	n.metrics.NewGauge(`zinniafall_caller_connections`, func() float64 { return float64(n.front.OpenConnections()) })
	n.metrics.NewGauge(`zinniafall_caller_connections_refused`, func() float64 { return float64(n.front.RefusedConnections()) })
	n.metrics.NewGauge(`zinniafall_log_lines_dropped`, func() float64 { return float64(n.log.Dropped()) })
	n.metrics.NewGauge(`zinniafall_target_in_flight`, func() float64 { return float64(n.owner.report().InFlight) })
	n.metrics.NewGauge(`zinniafall_target_queued`, func() float64 { return float64(n.owner.report().Queued) })
}
