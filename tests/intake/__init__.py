"""Tests of the account of clients."""
