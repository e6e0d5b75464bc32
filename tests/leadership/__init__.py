"""Tests of leadership."""
