"""Leadership aggregate: leader election, grants and worker assignment."""
