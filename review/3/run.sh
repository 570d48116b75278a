#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/case-3 review/3
