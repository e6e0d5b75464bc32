"""Tests of planner."""
