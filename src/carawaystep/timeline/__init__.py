"""Timeline events of a process, and parsing of decision logs."""
