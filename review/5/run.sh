#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
python3 case.py
status=$?
case $status in 0 | 1 | 2) exit $status ;; *) exit 2 ;; esac
