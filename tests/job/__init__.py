"""Tests of the job aggregate."""
