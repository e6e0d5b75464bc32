"""Events of a process and the decision logs, for timelines."""
