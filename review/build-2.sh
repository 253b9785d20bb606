#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standins-2"
GOWORK=off GOFLAGS="-buildvcs=false" CGO_ENABLED=0 go build -o ../../target/review-2/cases2 .
