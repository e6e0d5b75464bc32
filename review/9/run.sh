#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 python3 review/9/scenario.py
