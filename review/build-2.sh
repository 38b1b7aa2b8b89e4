#!/bin/sh
# Builds what the scripts of the second review start besides the node: one program with the
# stand-ins of the metadata store, of instances and of clients. It needs no network.
set -e
cd "$(dirname "$0")/standins-2"
GOWORK=off go build -o ../../target/review-2/standins2 .
