"""What clients may hold of a process: connections and memory."""
