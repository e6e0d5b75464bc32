"""Tests of workflow."""
