"""The access aggregate: bearer tokens and the rights they grant."""
