#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: Python modules of the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
