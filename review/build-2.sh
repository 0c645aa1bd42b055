#!/usr/bin/env bash
# Builds the stand-ins of the second independent review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review2 -o target/review-2/ ./review/rig2
