#!/bin/sh
# Builds the stand-ins of the cases of the third review into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for num in 11 12 13 14 15; do
	if [ -f "review/$num/main.go" ]; then
		go build -o "target/review-3/$num" "./review/$num"
	fi
done
