"""Tests of the membership aggregate."""
