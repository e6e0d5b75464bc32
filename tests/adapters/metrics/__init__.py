"""Tests of adapters.metrics."""
