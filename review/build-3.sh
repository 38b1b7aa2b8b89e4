#!/bin/sh
# Builds the stand-ins of the scripted cases of the third review. It needs no network.
set -e
cd "$(dirname "$0")/standins-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/standins .
