# Starts and stops a generated deployment for the measurements. Source it after setting NET, SEED and RATE (gigabytes per second of the weight store).

ANSWER_TRIES=150 # tenths of a second
STOP_TRIES=1000
LOG_ADDRESS=$NET.9.1:7000
SERVICE_CONTROL=$NET.8.250:7000
ENTRIES=7
ENGINES=60
pids=()
ENTRY_FLAGS=()
for ((number = 1; number <= ENTRIES; number++)); do
	ENTRY_FLAGS+=(--entry "$NET.0.$number:8000")
done

now() {
	date +%s%N
}

start() {
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 </dev/null &
	pids+=("$!")
	disown "$!"
	echo "$! $name" >>"$dir/pids"
}

pid_of() {
	awk -v name="$1" '$2 == name {pid = $1} END {print pid}' "$dir/pids"
}

await_answer() {
	local try
	for ((try = 0; try < ANSWER_TRIES; try++)); do
		curl --silent --output /dev/null --max-time 1 "$1" && return 0
		sleep 0.1
	done
	echo "no answer at $1" >&2
	return 1
}

await_end() {
	local try
	for ((try = 0; try < STOP_TRIES; try++)); do
		kill -0 "$1" 2>/dev/null || return 0
		sleep 0.1
	done
	echo "process $1 did not stop" >&2
	return 1
}

down() {
	local pid
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		await_end "$pid"
	done
	pids=()
}

faults() {
	curl --silent --fail --output /dev/null --max-time 5 -X POST "http://$1/v1/faults" -d "$2"
}

# control DOMAIN prints the control address of the engines of a fabric domain.
control() {
	awk -v name="$1" '$1 == name {print $2}' "$dir/controls"
}

start_engines() {
	local number=0 domain
	for domain in $(grep -o 'fabric_domain: [a-z0-9_.-]*' "$dir/inventory.yaml" | cut -d ' ' -f 2 | awk '$0 && !seen[$0]++'); do
		number=$((number + 1))
		echo "$domain $NET.8.$number:7000" >>"$dir/controls"
		start "engine-$domain" bin/standin engine --inventory "$dir/inventory.yaml" --domain "$domain" \
			--weight-store "$NET.9.3:7000" --control "$NET.8.$number:7000" --seed "$((SEED + number))" "${ENGINE_FLAGS[@]}"
	done
}

start_entry() {
	start "entry-$1" bin/lovagelever entry --settings "$dir/entry-$1.yaml"
}

publish() {
	bin/lovagelever publish "${ENTRY_FLAGS[@]}" "$1" >>"$dir/publish.log" 2>&1
}

# up NAME GENERATE_FLAGS... starts a deployment with its files in run/NAME and waits until all replicas serve.
up() {
	dir=run/$1
	shift
	if curl --silent --output /dev/null --max-time 1 "http://$LOG_ADDRESS/v1/counts"; then
		echo "a deployment is already running at $NET" >&2
		return 1
	fi
	rm -rf "$dir"
	bin/measurer generate --net "$NET" --entries "$ENTRIES" --engines "$ENGINES" --dir "$dir" "$@"
	: >"$dir/pids"
	: >"$dir/controls"
	start log bin/standin log --listen "$LOG_ADDRESS" --retain-records 100000 --retain-for 24h
	start vm_list bin/standin vm_list --listen "$NET.9.2:7000" --inventory "$dir/inventory.yaml"
	start weight_store bin/standin weight_store --listen "$NET.9.3:7000" --gigabytes-per-second "$RATE"
	start_engines
	start service-venue-api bin/standin service --inventory "$dir/inventory.yaml" --service venue-api --control "$SERVICE_CONTROL"
	await_answer "http://$LOG_ADDRESS/v1/counts"
	await_answer "http://$SERVICE_CONTROL/v1/counts"
	local number
	for ((number = 1; number <= ENTRIES; number++)); do
		start_entry "$number"
	done
	await_answer "http://$NET.0.1:8000/v1/self"
	publish "$dir/inventory.yaml"
	publish "$dir/rules.yaml"
	bin/measurer ready "${ENTRY_FLAGS[@]}" --within 100s
	sleep 2
}
