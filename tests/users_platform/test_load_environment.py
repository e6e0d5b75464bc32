"""Tests of the settings that the environment holds."""

from __future__ import annotations

import os
from unittest.mock import patch

from testtools import TestCase

from carawaystep.scheduler.load_settings import LoadSettings
from carawaystep.scheduler.load_settings import WaitingOrderName
from carawaystep_platform import start
from carawaystep_platform.load_environment import (
    load_settings_from_environment,
)


class LoadEnvironmentTest(TestCase):
    """Settings of decisions under overload."""

    def test_each_setting_is_read(self) -> None:
        """Guards against a setting that has no effect."""
        for environment, expected in (
            ({}, LoadSettings()),
            ({"CARAWAYSTEP_ADMISSION": ""}, LoadSettings()),
            ({"CARAWAYSTEP_ADMISSION": "on"}, LoadSettings(admission=True)),
            (
                {"CARAWAYSTEP_SHORT_WORK_RESERVE": "on"},
                LoadSettings(short_work_reserve=True),
            ),
            (
                {"CARAWAYSTEP_WAITING_ORDER": "least-cost"},
                LoadSettings(WaitingOrderName.LEAST_COST),
            ),
        ):
            loaded = load_settings_from_environment(environment)
            self.assertEqual(expected, loaded.unwrap())

    def test_bad_value_ends_the_start(self) -> None:
        """Guards against a mistyped setting that counts as its default."""
        with (
            patch.dict(os.environ, {"CARAWAYSTEP_ADMISSION": "yes"}),
            patch.object(start, "load_settings"),
            patch("builtins.print") as printed,
        ):
            os.environ[start.SETTINGS_VARIABLE] = "settings.toml"
            self.assertEqual(start.EXIT_INVALID_SETTINGS, start.main())
        self.assertEqual(
            "CARAWAYSTEP_ADMISSION is 'yes'; it must be 'off' or 'on'",
            printed.call_args.args[0],
        )
