#!/usr/bin/env bash
# Builds the stand-in of the third review's scriptss. The programs of the project come from the build
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/trial ./review/trial
