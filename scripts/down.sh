#!/usr/bin/env bash
# Stops one deployment. The entries stop first, so that they can drain while the stand-ins still answer.
set -euo pipefail
cd -P "$(dirname "$0")/.."

DEPLOYMENT=${1:?usage: scripts/down.sh DEPLOYMENT}
source scripts/common.sh

STOP_TRIES=400 # tenths of a second

if [ ! -e "$PID_FILE" ]; then
	echo "$DEPLOYMENT is not running"
	exit 0
fi

# ours reports whether the process with the given ID still runs a program from bin/.
ours() {
	[[ "$(readlink "/proc/$1/exe" 2>/dev/null)" == "$PWD"/bin/* ]]
}

stop_all() {
	local pid name
	for pid in "$@"; do
		if ours "$pid"; then
			kill -TERM "$pid" 2>/dev/null || true
		fi
	done
	for pid in "$@"; do
		await_end "$pid"
	done
}

await_end() {
	local pid=$1
	for ((try = 0; try < STOP_TRIES; try++)); do
		ours "$pid" || return 0
		sleep 0.1
	done
	echo "process $pid ($(awk -v pid="$pid" '$1 == pid {print $2}' "$PID_FILE")) did not stop in time; killing it" >&2
	kill -KILL "$pid" 2>/dev/null || true
	failed=1
}

failed=0
mapfile -t entries < <(awk '$2 ~ /^entry-/ {print $1}' "$PID_FILE")
mapfile -t others < <(awk '$2 !~ /^entry-/ {print $1}' "$PID_FILE")
stop_all "${entries[@]}"
stop_all "${others[@]}"
rm -f "$PID_FILE"
exit "$failed"
