#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: plain Python without dependencies.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/stand review/6 review/7 review/8 review/9 review/10
