#!/usr/bin/env bash
# Starts the two deployments one after the other, sends requests to each as a caller, and stops it.
set -euo pipefail
cd -P "$(dirname "$0")/.."

stop() {
	if [ -n "${DEPLOYMENT:-}" ]; then
		scripts/down.sh "$DEPLOYMENT" || echo "$DEPLOYMENT: not every process stopped in time" >&2
	fi
}

fail() {
	echo "run of $DEPLOYMENT failed: $1; logs are in run/$DEPLOYMENT" >&2
	exit 1
}

trap stop EXIT
trap 'exit 130' INT TERM

for deployment in alokrekha rail; do
	if [ -e "run/$deployment/pids" ]; then
		echo "$deployment is already running; stop it with scripts/down.sh $deployment" >&2
		exit 1
	fi
done

for deployment in alokrekha rail; do
	DEPLOYMENT=$deployment
	source scripts/common.sh
	scripts/up.sh "$DEPLOYMENT" || fail "the deployment did not start"
	bin/caller first --deployment "$DEPLOYMENT" --service-control "$SERVICE_CONTROL" "${ENTRY_FLAGS[@]}" ||
		fail "the caller's requests failed"
	scripts/down.sh "$DEPLOYMENT" || fail "the deployment did not stop in time"
	DEPLOYMENT=
done
