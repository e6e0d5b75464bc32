"""Lifecycle of an entry process."""

from __future__ import annotations

from enum import StrEnum

from transitions import Machine


class EntryPhase(StrEnum):
    """Phase of an entry process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class EntryLifecycle:
    """State machine of an entry process."""

    state: str

    def __init__(self) -> None:
        """Start in the phase ``STARTING``."""
        self._machine = Machine(
            model=self,
            states=[phase.value for phase in EntryPhase],
            initial=EntryPhase.STARTING.value,
            auto_transitions=False,
            transitions=[
                ["serve", "starting", "serving"],
                ["drain", ["starting", "serving"], "draining"],
                ["stop", ["starting", "serving", "draining"], "stopped"],
            ],
        )

    @property
    def phase(self) -> EntryPhase:
        """Return the current phase."""
        return EntryPhase(self.state)

    def advance(self, trigger: str) -> bool:
        """Make a transition.

        :param trigger: ``serve``, ``drain`` or ``stop``
        :returns: False when the current phase does not allow it
        """
        if trigger not in self._machine.get_triggers(self.state):
            return False
        self._machine.events[trigger].trigger(self)
        return True
