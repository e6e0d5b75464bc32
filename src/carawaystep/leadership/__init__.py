"""The leadership aggregate: which process plans, and for how long."""
