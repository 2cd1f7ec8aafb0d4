#!/usr/bin/env bash
# Runs the measurements that compare design alternatives: scripts/measure.sh [NAME...]. Without a name it runs all of them.
set -euo pipefail
cd -P "$(dirname "$0")/.."

NET=127.40
SEED=${SEED:-1}
RATE=100
ENGINE_FLAGS=()
BASELINE=(--extra balancer=round_robin --extra limits=none)
SLOW_ENGINES=(--step 20ms --step-each 1ms)
source scripts/stage.sh

EXPERIMENTS=(downtime replacement zone zone_busy overload keys cost crash placement)

results() {
	echo --out "out/$1.jsonl" --experiment "$2" --variant "$3"
}

load() {
	bin/measurer load "${ENTRY_FLAGS[@]}" --seed "$SEED" "$@"
}

status() {
	bin/lovagelever status "${ENTRY_FLAGS[@]}" --json
}

# group_of MODEL prints the fabric domain and the first member of the first group of a model.
group_of() {
	status | grep -v '^ *"voids"' | awk -v model="\"$1\"," '
		/"model":/ { found = ($2 == model) }
		found && /"fabric_domain":/ { gsub(/[",]/, "", $2); domain = $2 }
		found && /"vms": \[/ { getline; gsub(/[", ]/, ""); vm = $0; print domain, vm; exit }'
}

watch_downtime() {
	local file=downtime experiment=$1 variant=$2 since=$3 span=$4
	shift 4
	[ "$experiment" != replacement_of_all_entries ] || file=replacement
	bin/measurer downtime "${ENTRY_FLAGS[@]}" $(results "$file" "$experiment" "$variant") --since "$since" --for "$span" "$@"
}

lose_member() {
	local domain vm at
	read -r domain vm < <(group_of scene-composer)
	at=$(now)
	faults "$(control "$domain")" "{\"vms\": {\"$vm\": {\"kill\": true}}}"
	watch_downtime member_loss "$1" "$at" 40s
	faults "$(control "$domain")" '{}'
	sleep 3
}

lose_domain() {
	local domain vm at members
	read -r domain vm < <(group_of scene-composer)
	members=$(awk -v domain="$domain" '/^        [a-z].*:$/ {name = $1} $1 == "fabric_domain:" && $2 == domain {print name}' "$dir/inventory.yaml" |
		sed 's/:$//; s/.*/"&": {"kill": true}/' | paste -sd, -)
	at=$(now)
	faults "$(control "$domain")" "{\"vms\": {$members}}"
	watch_downtime domain_loss "$1" "$at" 40s
	faults "$(control "$domain")" '{}'
	sleep 3
}

lose_entry() {
	local at
	at=$(now)
	kill -KILL "$(pid_of entry-5)"
	watch_downtime entry_loss "$1" "$at" 15s
	start_entry 5
	sleep 5
}

replace_entries() {
	local number at
	at=$(now)
	watch_downtime replacement_of_all_entries "$1" "$at" 50s --planned &
	local watch=$!
	load $(results replacement "load_in_replacement" "$1") --rate 20 --for 50s &
	local sending=$!
	for ((number = 1; number <= ENTRIES; number++)); do
		kill -TERM "$(pid_of "entry-$number")"
		await_end "$(pid_of "entry-$number")"
		start_entry "$number"
		await_answer "http://$NET.0.$number:8000/v1/self"
		sleep 3
	done
	wait "$sending"
	kill -TERM "$watch" 2>/dev/null || true
	wait "$watch" || true
}

downtime() {
	RATE=10
	local policy repeat
	for policy in spare_first reform_elsewhere; do
		up downtime --domain-vms 5 --extra "policy=$policy"
		for repeat in 1 2; do
			lose_member "$policy"
		done
		lose_domain "$policy"
		if [ "$policy" = spare_first ]; then
			lose_entry "$policy"
		fi
		down
	done
	RATE=100
}

replacement() {
	up replacement --domain-vms 5
	replace_entries graceful
	down
}

# fallen prints how often an engine restarted because it was overloaded while cold.
fallen() {
	local address
	for address in $(awk '{print $2}' "$dir/controls"); do
		curl --silent "http://$address/v1/counts"
	done | grep -o '"fell_over":[0-9]*' | awk -F : '{sum += $2} END {print sum + 0}'
}

zone_rules() {
	sed "s/^rules:/rules:\n    availability_zones_out: [$1]/" "$dir/rules.yaml" >"$dir/rules-out.yaml"
	publish "$dir/rules-out.yaml"
}

# zone_move VARIANT LOG_OUT runs load for 40 s, drains a zone after 8 s and returns it after 24 s.
zone_move() {
	local before
	before=$(fallen)
	load $(results "$file" zone_move "$1") --rate "$rate" --for 40s --seconds \
		--mix compose=6,summarize=2,fetch=4,issued=3 --service-control "$SERVICE_CONTROL" &
	local sending=$!
	sleep 8
	zone_rules kolkata-salt-lake || echo "zone drain was not confirmed" >&2
	if [ "$2" = log_out ]; then
		faults "$LOG_ADDRESS" '{"down": true}'
		sleep 12
		faults "$LOG_ADDRESS" '{}'
		sleep 4
	else
		sleep 16
	fi
	zone_rules "" || echo "zone return was not confirmed" >&2
	wait "$sending"
	echo "{\"experiment\": \"engines_fallen_over\", \"variant\": \"$1\", \"result\": $(($(fallen) - before))}" >>"out/$file.jsonl"
}

zone() {
	local file=zone rate=40
	ENGINE_FLAGS=("${SLOW_ENGINES[@]}")
	up zone --domain-vms 5
	warm_up zone
	zone_move normal no
	sleep 3
	zone_move log_out log_out
	down
	up zone --domain-vms 5 "${BASELINE[@]}"
	warm_up zone
	zone_move baseline no
	down
	ENGINE_FLAGS=()
}

# zone_busy sends so many requests that a replica that returns cold would be overloaded by its share.
zone_busy() {
	local file=zone_busy rate=130
	ENGINE_FLAGS=("${SLOW_ENGINES[@]}")
	up zone_busy --domain-vms 5
	warm_up zone_busy
	zone_move normal no
	down
	up zone_busy --domain-vms 5 "${BASELINE[@]}"
	warm_up zone_busy
	zone_move baseline no
	down
	ENGINE_FLAGS=()
}

# warm_up sends a load that is low enough for cold engines, until they are warm.
warm_up() {
	load $(results "$1" warm_up any) --rate 12 --for 20s --mix compose=3,summarize=1 >/dev/null
}

overload_steps() {
	local times
	warm_up overload
	load $(results overload unloaded "$1") --rate 8 --for 5s
	for times in 0.5 1 2 4; do
		load $(results overload "times_$times" "$1") --rate "$(awk -v times="$times" 'BEGIN {print 148 * times}')" --for 6s
		sleep 2
	done
	load $(results overload small_alone "$1") --rate 9 --for 6s --flood 0.0001 --by size
	load $(results overload small_beside_flood "$1") --rate 296 --for 6s --flood 0.97 --by size
}

overload() {
	ENGINE_FLAGS=("${SLOW_ENGINES[@]}")
	up overload --domain-vms 5
	overload_steps home
	down
	[ "${BASELINES:-yes}" = yes ] || return 0
	up overload --domain-vms 5 "${BASELINE[@]}"
	overload_steps baseline
	down
	ENGINE_FLAGS=()
}

key_load() {
	local before after
	before=$(curl --silent "http://$LOG_ADDRESS/v1/counts" | grep -o '"appends":[0-9]*' | cut -d : -f 2)
	load $(results keys "$1" both) --rate 60 --for 12s --mix issued=1,claimed=1 --service-control "$SERVICE_CONTROL"
	after=$(curl --silent "http://$LOG_ADDRESS/v1/counts" | grep -o '"appends":[0-9]*' | cut -d : -f 2)
	echo "{\"experiment\": \"$1\", \"variant\": \"appends\", \"result\": $((after - before))}" >>out/keys.jsonl
}

keys() {
	up keys --domain-vms 5
	key_load warm_up
	key_load no_fault
	(sleep 4 && kill -KILL "$(pid_of entry-1)") &
	key_load entry_killed
	start_entry 1
	sleep 8
	(sleep 3 && kill -STOP "$(pid_of entry-2)" && sleep 5 && kill -CONT "$(pid_of entry-2)") &
	key_load entry_paused
	sleep 5
	(sleep 3 && faults "$LOG_ADDRESS" "{\"cut_sources\": [\"$NET.0.7\"]}") &
	key_load entry_cut_off_from_log
	faults "$LOG_ADDRESS" '{"cut_sources": []}'
	sleep 5
	(sleep 2 && faults "$LOG_ADDRESS" '{"down": true}') &
	key_load log_out
	faults "$LOG_ADDRESS" '{}'
	down
}

cost() {
	local way callers
	up cost --domain-vms 5 --warm-limit 64
	start copy bin/measurer copy --listen "$NET.8.251:7000"
	load $(results cost warm_up any) --rate 25 --for 12s >/dev/null
	load $(results cost warm_up any) --rate 100 --for 10s >/dev/null
	for callers in 1 64 512; do
		for way in direct copy entry; do
			bin/measurer cost "${ENTRY_FLAGS[@]}" $(results cost path "$way") --way "$way" --copier "$NET.8.251:7000" \
				--processes "$dir/pids" --concurrency "$callers" --for 4s
		done
	done
	down
}

# crash_load VARIANT FLAGS... sends requests of one workspace that crash engines, together with the load of all workspaces.
crash_load() {
	local variant=$1
	shift
	load $(results crash crash "$variant") --rate 40 --for 20s --mix compose=39,crash=1 --by workspace "$@"
}

crash() {
	local cells
	ENGINE_FLAGS=("${SLOW_ENGINES[@]}")
	for cells in ${CELLS:-1 2}; do
		up crash --domain-vms 5 --cells "$cells"
		load $(results crash warm_up any) --rate 12 --for 20s --cells "$cells" >/dev/null
		crash_load "cells_$cells-isolation" --cells "$cells"
		sleep 5
		crash_load "cells_$cells-no_isolation" --cells "$cells" --fresh
		down
	done
	ENGINE_FLAGS=()
}

placement() {
	go test -run '^$' -bench 'StrandedShare' -benchtime 1x ./placer | tee out/placement.txt
}

trap down EXIT
trap 'exit 130' INT TERM

# run_each runs each experiment in a separate shell, so that a failure does not stop the others.
run_each() {
	local name failed=0
	for name in "$@"; do
		scripts/measure.sh "$name" || {
			echo "$name: failed" >&2
			failed=1
		}
	done
	return "$failed"
}

if [ $# -eq 0 ]; then
	run_each "${EXPERIMENTS[@]}"
	exit
fi
if [ $# -gt 1 ]; then
	run_each "$@"
	exit
fi

make -s build
mkdir -p out
rm -f "out/$1.jsonl"
echo "== $1, seed $SEED"
"$1"
if [ -e "out/$1.jsonl" ]; then
	bin/measurer table "out/$1.jsonl"
fi
