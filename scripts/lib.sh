# Functions that start and stop the processes of a deployment. The other scripts
# source this file; BIN and DIR must be set.

# start NAME PROGRAM: start one process and write its ID to NAME.pid.
start() {
	"$BIN/$2" --settings "$DIR/$1.json" >>"$DIR/$1.log" 2>&1 &
	echo $! >"$DIR/$1.pid"
	disown
}

# stop_all: kill every process with a .pid file in DIR, by its ID. Suspended
# processes are continued first.
stop_all() {
	local f
	for f in "$DIR"/*.pid; do
		[ -e "$f" ] || continue
		kill -CONT "$(cat "$f")" 2>/dev/null
		kill -KILL "$(cat "$f")" 2>/dev/null
		rm -f "$f"
	done
}

# start_all: start all processes listed in the deployment and wait until they are ready.
start_all() {
	local name program ready
	while read -r name program ready; do
		start "$name" "$program"
	done <"$DIR/processes"
	"$BIN/rockload" wait --dir "$DIR"
}
