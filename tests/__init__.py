"""Tests of carawaystep."""
