#!/usr/bin/env bash
# Runs the specs of clients and backend servers outside the limits against real processes, one after the other.
# FOCUS selects specs; those listed in KNOWN-RED.txt are left out.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=$(scripts/known_red.sh skip ./prover | tail -n 1)
go test -tags soak -count=1 -timeout 30m ./prover -ginkgo.v -ginkgo.focus "${FOCUS:-Clients outside the limits|Backend servers whose answers have no end}" ${skip:+-ginkgo.skip "$skip"}
