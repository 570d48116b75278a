#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. See claim.txt.
cd "$(dirname "$0")" || exit 2
program=../bin-3/case13
[ -x "$program" ] && [ -x ../../target/crocushinge-gateway ] || { echo "build first: the build of deploy/system.toml, review/build-3.sh" >&2; exit 2; }
exec "$program"
