#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-latewithdrawal ./review/latewithdrawal
go build -o target/review-besideit ./review/besideit
go build -o target/review-latecrash ./review/latecrash
go build -o target/review-stopaccept ./review/stopaccept
go build -o target/review-longread ./review/longread
