"""Configuration of the models of bodies, parameters and headers."""

from __future__ import annotations

from pydantic import ConfigDict

# Unknown keys, infinite numbers and later changes are refused.
BODY_CONFIG = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)
