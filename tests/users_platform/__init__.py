"""Tests of users_platform."""
