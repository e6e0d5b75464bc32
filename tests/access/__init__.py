"""Tests of the access aggregate."""
