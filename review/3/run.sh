#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/ridgeswitch-platform target/review/staleorder; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of deploy/system.toml and review/build.sh"
		exit 2
	fi
done
exec target/review/staleorder review/3/record.txt
