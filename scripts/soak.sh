#!/usr/bin/env bash
# soak.sh FROM TO [GATEWAYS [UPSTREAMS [STEPS [KINDS]]]]: run the soak test for the seeds FROM
# to TO, one after the other. KINDS are the kinds of faults to inject, separated by commas; all if
# it is empty. Starts the gateway processes that rocksoak requests and kills them by their process
# IDs.
set -u
cd "$(dirname "$0")/.." || exit 1
FROM=${1:?the first seed} TO=${2:?the last seed}
GATEWAYS=${3:-5} UPSTREAMS=${4:-8} STEPS=${5:-20} KINDS=${6:-}
BIN=$PWD/bin
OUT=${SOAK_OUT:-$PWD/out/soak}
. scripts/lib.sh
for number in "$FROM" "$TO" "$GATEWAYS" "$UPSTREAMS" "$STEPS"; do
	case $number in
	'' | *[!0-9]*)
		echo "soak.sh: \"$number\" is no number" >&2
		exit 2
		;;
	esac
done

# serve_starts: start a gateway whenever its file NAME.start appears, until killed.
serve_starts() {
	local file name
	while sleep 0.05; do
		for file in "$DIR"/*.start; do
			[ -e "$file" ] || continue
			rm -f "$file"
			name=$(basename "$file" .start)
			start "$name" rockcroft-gateway
		done
	done
}

DIR=
trap 'stop_all; [ -n "${STARTER:-}" ] && kill "$STARTER" 2>/dev/null' EXIT
failed=0
for seed in $(seq "$FROM" "$TO"); do
	DIR=$OUT/$seed
	rm -rf "$DIR"
	mkdir -p "$DIR"
	serve_starts &
	STARTER=$!
	"$BIN/rocksoak" run --seed "$seed" --dir "$DIR" --gateways "$GATEWAYS" --upstreams "$UPSTREAMS" --steps "$STEPS" --kinds "$KINDS" \
		>"$DIR/progress.txt" 2>&1 || failed=$((failed + 1))
	tail -n 1 "$DIR/progress.txt"
	kill "$STARTER" 2>/dev/null
	wait "$STARTER" 2>/dev/null
	stop_all
done
"$BIN/rocksoak" page "$OUT"
exit $((failed > 0))
