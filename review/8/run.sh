#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 does the same without the disruption, and has to exit with 0.
export TROUBLE="${TROUBLE:-1}"
command -v python3 >/dev/null || { echo "no python3"; exit 2; }
cd "$(dirname "$0")" && exec python3 -B case.py
