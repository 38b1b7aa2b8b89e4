#!/bin/sh
# Builds what the scripts of the second review start besides the node: one program with the
# stand-ins of the metadata store, of instances and of clients. It uses the standard library
# only, needs no network, and is not part of the project's workspace.
set -e
cd "$(dirname "$0")/standins-2"
GOWORK=off GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../../target/review-2/standins2 .
