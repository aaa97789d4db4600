#!/usr/bin/env bash
# Builds what the scripts of the review start beside the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
