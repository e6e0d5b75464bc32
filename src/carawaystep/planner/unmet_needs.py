"""Needs of steps that no worker can meet during one placement pass."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

    from carawaystep.workflow.step_spec import StepSpec


class UnmetNeeds:
    """Remembers for which needs a pass has searched all workers in vain.

    Placements only use up capacity, so that a step that needs at least as
    much finds no worker later in the same pass. Under overload most waiting
    steps are ruled out without another search.
    """

    def __init__(self) -> None:
        """Create an empty record for one pass."""
        self._needs: dict[Hashable, list[StepSpec]] = {}

    def add(self, group: Hashable, step: StepSpec) -> None:
        """Record that no worker meets the needs of a step.

        :param group: what else decides which workers suit the step; only
            steps of one group are compared
        """
        self._needs.setdefault(group, []).append(step)

    def covers(self, group: Hashable, step: StepSpec) -> bool:
        """Tell whether a step needs at least as much as a recorded one.

        :param group: as for :meth:`add`
        """
        return any(
            step.needs_at_least(unmet) for unmet in self._needs.get(group, ())
        )
