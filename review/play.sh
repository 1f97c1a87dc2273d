#!/bin/sh
# play.sh CASE RECORD: plays a case. The stand-in asks for the processes of the case, and this
# script starts them: entry machines with the command of deploy/system.toml, and workers. It
# ends all that it started, also when it is interrupted. Exit codes: 1 the rule was broken,
# 0 it held, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/alderdyke-platform ] && [ -x target/review/standin ] || exit 2
dir=$(mktemp -d) || exit 2
mkfifo "$dir/ask" || exit 2

# start NAME COMMAND... runs a process and notes its id and how it ended.
start() {
	name=$1
	shift
	(
		trap - TERM INT HUP
		"$@" >"$dir/$name.log" 2>&1 &
		pid=$!
		echo "$pid" >"$dir/$name.new" && mv "$dir/$name.new" "$dir/$name.pid"
		wait "$pid" 2>/dev/null
		echo $? >"$dir/$name.end" && mv "$dir/$name.end" "$dir/$name.rc"
	) &
}

# finish ends every process that has not ended, and removes the folder.
finish() {
	for file in "$dir"/*.pid; do
		[ -f "$file" ] && [ ! -f "${file%.pid}.rc" ] && kill -9 "$(cat "$file")" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}

# interrupted ends the stand-in first, so that nothing is asked for any more.
interrupted() {
	trap '' TERM INT HUP
	[ -f "$dir/driver" ] && kill -9 "$(cat "$dir/driver")" 2>/dev/null
	sleep 0.5 # a process that was asked for before has its id noted then
	finish
	exit 2
}
trap interrupted TERM INT HUP

# The last word opens the pipe, so that the loop ends even if the stand-in never did.
(
	trap - TERM INT HUP
	target/review/standin case "$1" "$2" "$dir" &
	echo $! >"$dir/driver"
	wait $!
	echo $? >"$dir/result"
	: <>"$dir/ask"
) &
driver=$!
while read -r what name args; do
	case $what in
	vm) start "$name" env -i PATH="$PATH" HOME="$HOME" ALDERDYKE_CONFIG="$args" target/alderdyke-platform ;;
	worker) start "$name" target/review/standin worker $args ;; # args are words without spaces
	esac
done <"$dir/ask"
wait "$driver"
rc=$(cat "$dir/result")
finish
exit "${rc:-2}"
