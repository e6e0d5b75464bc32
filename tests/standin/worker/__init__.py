"""Tests of the stand-in workers."""
