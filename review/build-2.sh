#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/rig ./review/rig
