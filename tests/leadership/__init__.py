"""Tests of the leadership aggregate."""
