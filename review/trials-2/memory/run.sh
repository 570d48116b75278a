#!/bin/sh
# Lets many users come at once to hosts that hold two large bodies each.
# TROUBLE=0 keeps the usual number of users.
cd "$(dirname "$0")/../../.." || exit 2
exec review/bin-2/memory review/trials-2/memory/record.txt
