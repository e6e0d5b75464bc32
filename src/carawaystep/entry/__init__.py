"""The entry process.

An entry accepts requests and jobs, owns some of the workers of its
availability zone and dispatches to them. It shares state with other entries
through the platform's tables and heartbeats between peers.
"""
