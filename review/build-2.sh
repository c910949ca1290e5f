#!/usr/bin/env bash
# Build the stand-ins that the scripts of review/4 and later start, into review/bin-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin-2
go build -o review/bin-2/ ./review/standins-2
