#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
GOWORK=off GOFLAGS="-buildvcs=false" CGO_ENABLED=0 go build -o ../target/review/cases ./standins
