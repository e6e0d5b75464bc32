"""The planner: decides which task runs on which worker, and when."""
