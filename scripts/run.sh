#!/usr/bin/env bash
# Starts both deployments in turn, acts as a caller of each, and stops them.
set -euo pipefail
cd -P "$(dirname "$0")/.."

stop() {
	if [ -n "${DEPLOYMENT:-}" ]; then
		scripts/down.sh "$DEPLOYMENT" || echo "$DEPLOYMENT: not everything stopped as asked" >&2
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
		echo "$deployment is up already; stop it with scripts/down.sh $deployment" >&2
		exit 1
	fi
done

for deployment in alokrekha rail; do
	DEPLOYMENT=$deployment
	source scripts/common.sh
	scripts/up.sh "$DEPLOYMENT" || fail "it did not start"
	bin/caller first --deployment "$DEPLOYMENT" --service-control "$SERVICE_CONTROL" "${ENTRY_FLAGS[@]}" ||
		fail "the caller was not served"
	scripts/down.sh "$DEPLOYMENT" || fail "it did not stop in time"
	DEPLOYMENT=
done
