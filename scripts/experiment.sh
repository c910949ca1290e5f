#!/usr/bin/env bash
# experiment.sh SHAPE EXPERIMENT [DIR]: start a deployment, run one experiment
# on it, and stop all processes that were started.
set -u
cd "$(dirname "$0")/.." || exit 1
SHAPE=${1:-demo}
NAME=${2:-demo}
BIN=$PWD/bin
DIR=${3:-$PWD/out/$SHAPE-$NAME}
. scripts/lib.sh
rm -rf "$DIR"
"$BIN/rockload" deploy --shape "$SHAPE" --dir "$DIR" || exit 1
trap 'stop_all' EXIT
start_all || exit 1

# Restart each process for which a file NAME.start appears.
(
	while sleep 0.2; do
		for f in "$DIR"/*.start; do
			[ -e "$f" ] || continue
			rm -f "$f"
			name=$(basename "$f" .start)
			program=$(awk -v n="$name" '$1 == n { print $2 }' "$DIR/processes")
			start "$name" "$program"
		done
	done
) &
echo $! >"$DIR/restarter.pid"
disown

"$BIN/rockload" create --dir "$DIR" || exit 1
"$BIN/rockload" experiment --dir "$DIR" --name "$NAME" 2>&1 | tee "$DIR/report.txt"
exit "${PIPESTATUS[0]}"
