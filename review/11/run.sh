#!/bin/sh
# Shows the case with the deploy file's commands; see claim.txt.
cd "$(dirname "$0")" || exit 2
exec timeout 118 python3 -B case.py
