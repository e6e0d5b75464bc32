"""The fleet of workers: their capacity, their runs and calls to them."""
