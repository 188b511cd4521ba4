#!/bin/sh
# The same fault by `Retry-After`. Exit status as of run.sh; writes record.txt too.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/13/pause.py
