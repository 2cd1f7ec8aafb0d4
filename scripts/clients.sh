#!/usr/bin/env bash
# Runs the specs of clients outside the limits against real processes, one after the other.
# FOCUS selects specs; those listed in KNOWN-RED.txt are left out.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=$(scripts/known_red.sh skip ./prover | tail -n 1)
go test -tags soak -count=1 -timeout 30m ./prover -ginkgo.v -ginkgo.focus "${FOCUS:-Clients outside the limits}" ${skip:+-ginkgo.skip "$skip"}
