#!/usr/bin/env bash
# Checks the stand-ins and the cases; they are Python without libraries of their own.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standin ./[0-9]*/case.py
