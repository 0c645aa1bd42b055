#!/usr/bin/env bash
# Builds the program that plays the cases, with all its stand-ins. It needs no network: the
# module in rig/ has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -C review/rig -o ../../target/review/rig .
