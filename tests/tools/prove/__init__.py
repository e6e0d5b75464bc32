"""Tests of the fault injection runs."""
