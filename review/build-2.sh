#!/bin/sh
# Prepares what the cases 6 to 10 start besides the programs of the deploy file: their
# stand-ins are scripts that need the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib2
