"""Tests of adapters.logs."""
