#!/bin/bash
# Plays the case $1 and writes the record to $2. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x bin/quillrail ]; then
	echo "bin/quillrail is missing: run the build command of deploy/balancer.toml first" >&2
	exit 2
fi
bash review/build.sh || exit 2
timeout -k 2 110 review/bin/standins "$1" "$2"
code=$?
if [ $code -ne 0 ] && [ $code -ne 1 ]; then
	exit 2
fi
exit $code
