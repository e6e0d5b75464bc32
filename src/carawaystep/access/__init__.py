"""The access aggregate: tokens and what they allow."""
