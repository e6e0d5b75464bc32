"""The fleet of workers: what is offered, and what each one runs."""
