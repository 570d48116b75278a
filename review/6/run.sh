#!/bin/sh
# Stops one of three hosts by SIGTERM while requests wait at it for a free slot.
# TROUBLE=0 leaves the host alone.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin-2/case6 review/6/record.txt
