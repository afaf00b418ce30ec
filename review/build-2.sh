#!/bin/sh
# Builds the stand-ins of the second review into target/. It needs nothing beyond what the build of
# the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin2
