# Functions to start and stop the processes of a deployment. Sourced by the
# other scripts; expects BIN and DIR.

# start NAME PROGRAM: start one process and note its id.
start() {
	"$BIN/$2" --settings "$DIR/$1.json" >>"$DIR/$1.log" 2>&1 &
	echo $! >"$DIR/$1.pid"
	disown
}

# stop_all: end every process that was started here, by its id.
stop_all() {
	local f
	for f in "$DIR"/*.pid; do
		[ -e "$f" ] || continue
		kill -CONT "$(cat "$f")" 2>/dev/null
		kill -KILL "$(cat "$f")" 2>/dev/null
		rm -f "$f"
	done
}

# start_all: start what the deployment lists and wait until all are ready.
start_all() {
	local name program ready
	while read -r name program ready; do
		start "$name" "$program"
	done <"$DIR/processes"
	"$BIN/rockload" wait --dir "$DIR"
}
