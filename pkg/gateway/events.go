package gateway

import (
	"math"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

// Log events of this package.
var (
	EventRequestServed = eventlog.Define(2100, "request_served", logrus.InfoLevel,
		"a target responded; the fields give the target, the estimates behind its choice and the attempts; class, cause, overload and held_ms are set if room was short")
	EventRequestRefused = eventlog.Define(2101, "request_refused", logrus.WarnLevel,
		"the request got no response from a target; not_run says what its status promises, and attempts gives the evidence: the end of each attempt, the status of the response, the bytes that the connection accepted, the number of the connection, whether it had carried an earlier request, and whether the response carried the id of the request; class, cause, overload, wait_ms and accepted_ms say what decided if room was short")
	EventStarted          = eventlog.Define(2102, "vm_started", logrus.InfoLevel, "the process listens")
	EventSettingsReloaded = eventlog.Define(2103, "settings_read_again", logrus.InfoLevel,
		"the settings file was read again after a signal; changed fields take effect at the next start")
	EventStopping = eventlog.Define(2104, "planned_stop_began", logrus.InfoLevel,
		"this VM leaves the VM list and completes its requests")
	EventStopped = eventlog.Define(2105, "planned_stop_ended", logrus.InfoLevel,
		"the process ends; cut counts requests that were still running")
	EventReady = eventlog.Define(2106, "vm_ready", logrus.InfoLevel,
		"the routes and the targets have been read")
	EventNoRoute = eventlog.Define(2107, "no_route", logrus.WarnLevel,
		"no route of the version in force matches the request; if denied is false, the store has not confirmed that version for routes_ms, and the caller was asked to come back")
	EventTargetEjected = eventlog.Define(2108, "target_passed_over", logrus.WarnLevel,
		"a connection to the target failed; the target is ejected for a time that grows with each failure, and counts as cold after it")
	EventSpillChanged = eventlog.Define(2109, "spill_changed", logrus.InfoLevel,
		"the share of this region's objects that other regions serve moved by 5 points or more; use is the share of the region's slots in use")
	EventVMUnresponsive = eventlog.Define(2111, "vm_silent", logrus.WarnLevel,
		"a VM of the region has sent no message for after_ms, or sends messages again; lookups leave out an unresponsive VM")
	EventCrashingRequest = eventlog.Define(2110, "crashing_request", logrus.WarnLevel,
		"a request has broken the connections of the named target; after three targets it is refused on all VMs")
	EventResponseCut = eventlog.Define(2112, "response_cut", logrus.WarnLevel,
		"a long response ended before its end, after its head had gone to the caller; the caller's connection was closed, and target_failed says whether the target counts as failed")
	EventMachineResumed = eventlog.Define(2113, "machine_resumed", logrus.WarnLevel,
		"this process did not run for paused_ms, because the machine was suspended or frozen or gave it no processor time; suspended_ms is the time of all suspensions. The entries of the store are read again")
	EventTargetLimited = eventlog.Define(2114, "target_limited", logrus.WarnLevel,
		"a target began or ceased to state a limit (per_second) on the requests of all VMs together; each VM keeps to its part")
	EventTargetPaused = eventlog.Define(2115, "target_paused", logrus.WarnLevel,
		"a target refused a request and wants none of this VM for pause_ms")
	EventConnectionsExhausted = eventlog.Define(2116, "connections_exhausted", logrus.ErrorLevel,
		"all connections to the usable targets of a service have been in use for 10 s, so that this VM cannot serve it, or one is free again; see hickory_gateway_target_connections")
	EventKeyRejected = eventlog.Define(2117, "key_rejected", logrus.WarnLevel,
		"the route needs a key of a client account, and the version in force has no account for the one that came (has_key) or none came; if denied is false, the store has not confirmed that version for routes_ms, and the caller was asked to come back. No event holds a key")
	EventKeysUnverified = eventlog.Define(2118, "keys_unverified", logrus.ErrorLevel,
		"this VM refuses requests with keys as not run, because a key that was removed verified_ms ago may still look valid to it; logged once until it serves them again")
	EventKeysVerified = eventlog.Define(2119, "keys_verified", logrus.InfoLevel,
		"this VM has fresh word of the configuration and serves requests with keys again, after refused_ms")
	EventResponseRejected = eventlog.Define(2123, "response_rejected", logrus.WarnLevel,
		"a target responded, and the response is cut, is not valid HTTP or belongs to another request (kind); error gives the evidence. The target counts as failed, and the request may have run. Check the target for a crash")
	EventQuarantineStored = eventlog.Define(2124, "quarantine_stored", logrus.InfoLevel,
		"this VM has written the quarantine of a request that crashes its targets to the store, after a number of trials, or has removed it (removed) because a target has responded to the request or none came for two hours; error, if any, tells that the write failed and is tried again")
)

// requestMetrics holds the metrics of this package.
type requestMetrics struct {
	set        *metrics.Set
	served     *metrics.Counter
	failed     *metrics.Counter
	notRun     *metrics.Counter
	mayHaveRun *metrics.Counter
	resends    *metrics.Counter
	spilled    *metrics.Counter
	warm       *metrics.Counter
	// The bytes of requests and responses by the place of the target.
	ownZoneBytes, otherZoneBytes, otherRegionBytes *metrics.Counter
	duration                                       *metrics.Histogram
	turnedAway                                     map[turnedAwayKey]*metrics.Counter

	peerErrors *metrics.Counter
	// Requests that were refused for their key.
	keysUnknown, keysMissing, keysUnconfirmed, keysUnverified *metrics.Counter
}

func newRequestMetrics() *requestMetrics {
	s := metrics.NewSet()
	return &requestMetrics{
		set:        s,
		served:     s.NewCounter(`hickory_gateway_requests_total{outcome="served"}`),
		failed:     s.NewCounter(`hickory_gateway_requests_total{outcome="failed_by_target"}`),
		notRun:     s.NewCounter(`hickory_gateway_requests_total{outcome="not_run"}`),
		mayHaveRun: s.NewCounter(`hickory_gateway_requests_total{outcome="unknown"}`),
		resends:    s.NewCounter(`hickory_gateway_resends_total`),
		spilled:    s.NewCounter(`hickory_gateway_spilled_total`),
		warm:       s.NewCounter(`hickory_gateway_warm_total`),

		ownZoneBytes:     s.NewCounter(`hickory_gateway_target_bytes_total{target="own_zone"}`),
		otherZoneBytes:   s.NewCounter(`hickory_gateway_target_bytes_total{target="other_zone"}`),
		otherRegionBytes: s.NewCounter(`hickory_gateway_target_bytes_total{target="other_region"}`),

		duration:   s.NewHistogram(`hickory_gateway_request_seconds`),
		turnedAway: newTurnedAwayCounters(s),

		peerErrors: s.NewCounter(`hickory_gateway_peer_errors_total`),

		keysUnknown:     s.NewCounter(`hickory_gateway_keys_rejected_total{cause="unknown"}`),
		keysMissing:     s.NewCounter(`hickory_gateway_keys_rejected_total{cause="missing"}`),
		keysUnconfirmed: s.NewCounter(`hickory_gateway_keys_rejected_total{cause="unconfirmed"}`),
		keysUnverified:  s.NewCounter(`hickory_gateway_keys_rejected_total{cause="unverified"}`),
	}
}

// keyRejected returns the counter of the requests whose key is missing or not known.
// A request is unconfirmed if this VM cannot tell whether its version is current.
func (m *requestMetrics) keyRejected(hasKey, confirmed bool) *metrics.Counter {
	switch {
	case !confirmed:
		return m.keysUnconfirmed
	case hasKey:
		return m.keysUnknown
	}
	return m.keysMissing
}

// Metrics returns the metrics of the gateway.
func (g *Gateway) Metrics() *metrics.Set { return g.metrics.set }

// recordOutcome logs the outcome of one request and updates the metrics.
func (g *Gateway) recordOutcome(c *call, response *Response, refusal *Refusal) {
	now := g.cfg.Now()
	fields := eventlog.Fields{
		"request": c.ID, "route": c.Route.Name, "service": c.service, "object": c.Object,
		"ms": now.Sub(c.Received).Milliseconds(), "sends": c.retries + 1, "refusals": c.refusals, "misses": c.unreached,
		"left_ms": c.deadline.Sub(now).Milliseconds(), "listed_ms": ageMilliseconds(g.targetFeed.Age()), "routes_ms": ageMilliseconds(g.operatorFeed.Age()),
	}
	if c.Account != nil {
		fields["account"], fields["keys_ms"] = c.Account.Name, ageMilliseconds(g.operatorFeed.VerifiedAge())
	}
	if table := g.routes.Load(); table != nil {
		fields["version"] = table.Config.Version
	}
	if choice := c.choice; choice != nil {
		fields["target"] = choice.Target.ID
		fields["target_zone"] = choice.Target.Zone
		fields["expected_ms"] = choice.ExpectedLatency.Milliseconds()
		fields["wait_ms"] = choice.ExpectedWait.Milliseconds()
		fields["in_flight"] = math.Round(choice.InFlight*10) / 10
		fields["load_age_ms"] = choice.LoadReportAge.Milliseconds()
		fields["warm"] = choice.Warm
		fields["rank"] = choice.Rank
		fields["spilled"] = choice.Spilled
	}
	addAdmissionFields(fields, &c.admission)
	if c.lastErr != nil {
		fields["error"] = c.lastErr.Error()
	}
	if len(c.attempts) > 0 {
		fields["attempts"] = c.attempts.String()
	}
	g.countOutcome(c, response, refusal)
	if response != nil {
		fields["status"], fields["conn"] = response.Status, response.Trace.Connection
		if response.Status >= http.StatusBadRequest {
			fields["authentic"], fields["reused"], fields["echoed"] = response.Authentic, response.Trace.Reused, response.Trace.Echoed
		}
		g.cfg.Logger.Log(EventRequestServed, fields)
		return
	}
	fields["reason"] = string(refusal.Reason)
	fields["not_run"] = refusal.NotRun
	fields["retry_after_ms"] = refusal.RetryAfter.Milliseconds()
	g.cfg.Logger.Log(EventRequestRefused, fields)
}

func (g *Gateway) countOutcome(c *call, response *Response, refusal *Refusal) {
	g.metrics.duration.Update(g.cfg.Now().Sub(c.Received).Seconds())
	g.metrics.resends.Add(c.retries + c.refusals + c.unreached)
	if c.choice != nil && c.choice.Spilled {
		g.metrics.spilled.Inc()
	}
	if c.choice != nil && c.choice.Warm {
		g.metrics.warm.Inc()
	}
	switch {
	case refusal != nil && refusal.NotRun:
		g.metrics.notRun.Inc()
	case refusal != nil:
		g.metrics.mayHaveRun.Inc()
	case response.Status >= 500:
		g.metrics.failed.Inc()
	default:
		g.metrics.served.Inc()
	}
}
