#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/, which lies outside the default build.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2 ./review/standin2
