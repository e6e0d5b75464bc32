"""Configuration of the models of bodies, parameters and headers."""

from __future__ import annotations

from pydantic import ConfigDict

# Rejects unknown keys, infinity and NaN; instances are immutable.
BODY_CONFIG = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)
