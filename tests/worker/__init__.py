"""Tests of the worker aggregate."""
