#!/usr/bin/env bash
# The stand-ins are plain Python without packages; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)"
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m py_compile ./*.py [1-5]/case.py
