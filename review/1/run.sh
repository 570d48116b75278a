#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/case-1 review/1
