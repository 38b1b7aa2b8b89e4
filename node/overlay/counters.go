package overlay

import "github.com/VictoriaMetrics/metrics"

// The counters of all runners of the process.
var (
	packetsReceived = metrics.NewCounter("zinniafall_overlay_packets_received_total")
	bytesReceived   = metrics.NewCounter("zinniafall_overlay_received_bytes_total")
	packetsSent     = metrics.NewCounter("zinniafall_overlay_packets_sent_total")
	bytesSent       = metrics.NewCounter("zinniafall_overlay_sent_bytes_total")
	packetsDropped  = metrics.NewCounter("zinniafall_overlay_packets_dropped_total")
	packetsRefused  = metrics.NewCounter("zinniafall_overlay_packets_refused_total")
	sendsDropped    = metrics.NewCounter("zinniafall_overlay_sends_dropped_total")
	floodsDropped   = metrics.NewCounter("zinniafall_overlay_floods_dropped_total")
	floodsDelivered = metrics.NewCounter("zinniafall_overlay_floods_delivered_total")
	pauses          = metrics.NewCounter("zinniafall_overlay_pauses_total")
)
