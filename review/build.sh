#!/bin/sh
# Builds the stand-ins of the scripts. It needs no network.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
