#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
