"""Random simulation of the scheduler's nodes in virtual time."""
