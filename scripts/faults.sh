#!/usr/bin/env bash
# Runs the fault soak test of entries on a platform with many seeds, several at once, and prints the result of each seed.
# NET: second octet of the first lane's loopback addresses. SEEDS: number of seeds. FIRST: first seed.
# LANES: number of runs at once. SOAK: how long each run injects faults. FOCUS and SKIP: regular expressions that select specs and leave some out.
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=${SEEDS:-50} first=${FIRST:-1} lanes=${LANES:-4} soak=${SOAK:-12s} skip=${SKIP:-} focus=${FOCUS:-Entries on a platform keep every promise}
# The second octets of consecutive lanes differ by net_step; each run takes three octets.
net_base=${NET:-40} net_step=10
out=run/faults
rm -rf "$out"
mkdir -p "$out"
go test -tags soak -c -o "$out/prover.test" ./prover

lane() {
	local seed
	for ((seed = first + $1; seed < first + seeds; seed += lanes)); do
		if (cd prover && LOVAGELEVER_NET=$((net_base + net_step * $1)) LOVAGELEVER_SEED=$seed LOVAGELEVER_SOAK=$soak \
			"../$out/prover.test" -ginkgo.focus "$focus" ${skip:+-ginkgo.skip "$skip"} >"../$out/$seed.log" 2>&1); then
			echo "$seed passed" >>"$out/results"
		else
			echo "$seed failed, see $out/$seed.log" >>"$out/results"
		fi
	done
}

for ((num = 0; num < lanes; num++)); do
	lane "$num" &
done
wait
sort -n "$out/results"
! grep -q failed "$out/results"
