#!/usr/bin/env bash
# Builds the stand-ins and checks of the review's scripts into review/bin. They use the
# standard library only; the module is not part of the project's workspace.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS= GOPROXY=off go build -o ../bin/ ./cmd/...
