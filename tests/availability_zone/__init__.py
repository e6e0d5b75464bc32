"""Tests of what is known of availability zones."""
