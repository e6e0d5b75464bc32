"""Tests of the request aggregate."""
