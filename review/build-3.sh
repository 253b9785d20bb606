#!/bin/sh
# Builds the stand-ins of the scripted cases of the third review. Run it after the build line of deploy/system.toml.
set -e
mkdir -p "$(dirname "$0")/../target/review-3"
cd "$(dirname "$0")/rig-3"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -trimpath -o ../../target/review-3/rig.new .
mv ../../target/review-3/rig.new ../../target/review-3/rig
