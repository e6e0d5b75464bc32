"""Tests of the planner."""
