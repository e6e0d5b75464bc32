"""The commands of the command line interface, one in each module."""
