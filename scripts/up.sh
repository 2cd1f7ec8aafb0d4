#!/usr/bin/env bash
# Starts the stand-ins and 7 entries of one deployment on loopback addresses, then publishes its inventory and rules.
set -euo pipefail
cd -P "$(dirname "$0")/.."

DEPLOYMENT=${1:?usage: scripts/up.sh DEPLOYMENT}
source scripts/common.sh

ANSWER_TRIES=100 # tenths of a second

if [ -e "$PID_FILE" ]; then
	echo "$DEPLOYMENT is already running; stop it with scripts/down.sh $DEPLOYMENT" >&2
	exit 1
fi

make -s build
mkdir -p "$RUN_DIR"
: >"$PID_FILE"

start() {
	local name=$1
	shift
	"$@" >"$RUN_DIR/$name.log" 2>&1 </dev/null &
	echo "$! $name" >>"$PID_FILE"
}

await_answer() {
	local url=$1 name=$2
	for ((try = 0; try < ANSWER_TRIES; try++)); do
		if curl --silent --output /dev/null --max-time 1 "$url"; then
			return 0
		fi
		sleep 0.1
	done
	echo "$name does not answer at $url; last lines of $RUN_DIR/$name.log:" >&2
	tail -n 5 "$RUN_DIR/$name.log" >&2
	return 1
}

fabric_domains() {
	grep -o 'fabric_domain: [a-z0-9_.-]*' "$INVENTORY" | cut -d ' ' -f 2 | awk '!seen[$0]++'
}

start log bin/standin log --listen "$LOG_ADDRESS" --retain-records 100000 --retain-for 24h
start vm_list bin/standin vm_list --listen "$VM_LIST_ADDRESS" --inventory "$INVENTORY"
start weight_store bin/standin weight_store --listen "$WEIGHT_STORE_ADDRESS" --gigabytes-per-second 20
await_answer "http://$LOG_ADDRESS/v1/records?from=1&limit=1&wait_ms=0" log
await_answer "http://$VM_LIST_ADDRESS/v1/vms" vm_list
await_answer "http://$WEIGHT_STORE_ADDRESS/v1/leases" weight_store

number=0
for domain in $(fabric_domains); do
	number=$((number + 1))
	start "engine-$domain" bin/standin engine --inventory "$INVENTORY" --domain "$domain" \
		--weight-store "$WEIGHT_STORE_ADDRESS" --control "$NET.8.$number:7000" --seed "$number"
done
start "service-$SERVICE" bin/standin service --inventory "$INVENTORY" --service "$SERVICE" --control "$SERVICE_CONTROL"
await_answer "http://$SERVICE_CONTROL/v1/counts" "service-$SERVICE"

for number in 1 2 3 4 5 6 7; do
	start "entry-$number" bin/lovagelever entry --settings "$EXAMPLES/entry-$number.yaml"
done
for number in 1 2 3 4 5 6 7; do
	await_answer "http://$NET.0.$number:8000/v1/self" "entry-$number"
done

for part in inventory rules; do
	echo "$DEPLOYMENT: publishing $part"
	bin/lovagelever publish "${ENTRY_FLAGS[@]}" "$EXAMPLES/$part.yaml"
done
