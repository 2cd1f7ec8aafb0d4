#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10. It goes after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stand-2 ./review/6/stand
