#!/bin/sh
# play-2.sh CASE RECORD: plays a case of the second review. The stand-in asks for the processes
# of the case, and this script starts them: entry machines with the command of
# deploy/system.toml, and workers. It ends all that it started, also when it is interrupted.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/alderdyke-platform ] && [ -x target/standin2 ] || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
dir=$(mktemp -d) || exit 2
mkfifo "$dir/ask" || exit 2
: >"$dir/ids"

# start NAME COMMAND... runs a process, and notes its ID and that it has ended.
start() {
	name=$1
	shift
	(
		"$@" >"$dir/$name.log" 2>&1 &
		id=$!
		echo "$id" >>"$dir/ids"
		echo "$id" >"$dir/$name.new" && mv "$dir/$name.new" "$dir/$name.pid"
		wait "$id" 2>/dev/null
		echo $? >"$dir/$name.end" && mv "$dir/$name.end" "$dir/$name.rc"
	) &
}

# finish ends every process that has not ended, and removes the folder.
finish() {
	trap '' TERM INT HUP
	[ -n "$driver" ] && kill -9 "$driver" 2>/dev/null
	[ -n "$loop" ] && kill -9 "$loop" 2>/dev/null
	sleep 0.1 # a process that is being started notes its ID
	for file in "$dir"/*.pid; do
		[ -f "$file" ] && [ ! -f "${file%.pid}.rc" ] && kill -9 "$(cat "$file")" 2>/dev/null
	done
	sleep 0.1
	rm -rf "$dir"
}
driver=
loop=
trap 'finish; exit 2' TERM INT HUP

exec 3<>"$dir/ask" # the pipe stays open, so that no reader meets its end
target/standin2 run "$1" "$2" "$dir" &
driver=$!
(
	while read -r what name file; do
		case $what in
		vm) start "$name" env -i PATH="$PATH" HOME="$HOME" ALDERDYKE_CONFIG="$file" $run ;;
		worker) start "$name" target/standin2 worker "$file" ;;
		esac
	done <"$dir/ask"
) &
loop=$!
wait "$driver"
code=$?
driver=
finish
exit "$code"
