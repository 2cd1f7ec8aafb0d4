#!/usr/bin/env bash
# Measures the control-plane cost at several deployment sizes, given as ENTRIES/ENGINE_VMS pairs. Default: 7/60 14/120 28/240 56/480.
set -euo pipefail
cd -P "$(dirname "$0")/.."

NET=127.40
SEED=${SEED:-1}
RESULTS=out/scale.jsonl
ANSWER_TRIES=150 # tenths of a second

sizes=("$@")
if [ ${#sizes[@]} -eq 0 ]; then
	sizes=(7/60 14/120 28/240 56/480)
fi

make -s build
mkdir -p out
: >"$RESULTS"
pids=()

start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 </dev/null &
	pids+=("$!")
	disown "$!"
	echo "$! $name" >>"$dir/pids"
}

await_answer() {
	for ((try = 0; try < ANSWER_TRIES; try++)); do
		curl --silent --output /dev/null --max-time 1 "$1" && return 0
		sleep 0.1
	done
	echo "no answer at $1" >&2
	return 1
}

stop_all() {
	[ ${#pids[@]} -eq 0 ] && return 0
	kill -KILL "${pids[@]}" 2>/dev/null || true
	pids=()
	sleep 1
}

start_platform() {
	start log bin/standin log --listen "$NET.9.1:7000" --retain-records 100000 --retain-for 24h
	start vm_list bin/standin vm_list --listen "$NET.9.2:7000" --inventory "$dir/inventory.yaml"
	start weight_store bin/standin weight_store --listen "$NET.9.3:7000" --gigabytes-per-second 100
	await_answer "http://$NET.9.1:7000/v1/counts"
	await_answer "http://$NET.9.2:7000/v1/vms"
	await_answer "http://$NET.9.3:7000/v1/leases"
	local number=0 domain
	for domain in $(grep -o 'fabric_domain: [a-z0-9_.-]*' "$dir/inventory.yaml" | cut -d ' ' -f 2 | awk '$0 && !seen[$0]++'); do
		number=$((number + 1))
		start "engine-$domain" bin/standin engine --inventory "$dir/inventory.yaml" --domain "$domain" \
			--weight-store "$NET.9.3:7000" --control "$NET.8.$number:7000" --seed "$((SEED + number))"
	done
	start service-venue-api bin/standin service --inventory "$dir/inventory.yaml" --service venue-api --control "$NET.8.250:7000"
}

measure() {
	local entries=$1 engines=$2 number
	dir=run/scale-$entries
	rm -rf "$dir"
	bin/measurer generate --net "$NET" --entries "$entries" --engines "$engines" --dir "$dir"
	: >"$dir/pids"
	start_platform
	for ((number = 1; number <= entries; number++)); do
		start "entry-$number" bin/lovagelever entry --settings "$dir/entry-$number.yaml"
	done
	await_answer "http://$NET.0.1:8000/v1/self"
	for part in inventory rules; do
		bin/lovagelever publish --entry "$NET.0.1:8000" "$dir/$part.yaml" >"$dir/publish-$part.log"
	done
	local flags=(--net "$NET" --entries "$entries" --engines "$engines" --processes "$dir/pids" --out "$RESULTS")
	bin/measurer scale "${flags[@]}"
	local victim=entry-$entries
	kill -KILL "$(awk -v name="$victim" '$2 == name {print $1}' "$dir/pids")"
	bin/measurer takeover "${flags[@]}" --victim "$victim" --lost "$(date +%s%N)"
}

trap stop_all EXIT
trap 'exit 130' INT TERM

echo "seed $SEED, sizes ${sizes[*]}"
for size in "${sizes[@]}"; do
	measure "${size%/*}" "${size#*/}" || echo "size $size: failed, see run/scale-${size%/*}" >&2
	stop_all
done
bin/measurer slopes "$RESULTS"
