#!/bin/sh
# Runs a case: run-case.sh FOLDER NAME. Status 1: the rule was broken; 0: it held; 2: it could not run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
if [ ! -x "$root/target/ridgeswitch-platform" ] || [ ! -x "$root/target/review-2/standins" ]; then
	echo "build first: the build of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
ROOT=$root RECORD=$folder/record.txt timeout -k 3 115 "$root/target/review-2/standins" "$2"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
