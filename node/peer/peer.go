// Package peer carries calls and control messages between nodes over QUIC.
package peer
