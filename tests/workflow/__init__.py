"""Tests of the workflow."""
