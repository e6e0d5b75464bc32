#!/usr/bin/env bash
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=..
exec python3 case.py
