// Package target is a stand-in for a target.
package target
