"""Tests of the tasks of an entry process."""
