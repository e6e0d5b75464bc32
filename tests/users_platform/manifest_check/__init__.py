"""Tests of the manifest check."""
