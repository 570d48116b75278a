#!/bin/sh
# Builds the stand-ins of the second review's scripts into review/bin-2/.
set -e
cd "$(dirname "$0")/.."
for n in 6 7; do
	go build -tags review -o "review/bin-2/case$n" "./review/$n"
done
go build -tags review -o review/bin-2/memory ./review/trials-2/memory
