"""Tests of the settings of the scheduler's optional parts."""

import unittest

from returns.result import Failure

from lagoonshelf_core.errors import ResultCode
from lagoonshelf_core.jobs.options import DEFAULT_OPTIONS
from lagoonshelf_server.jobs.scheduler_settings import load_scheduler_options


class SchedulerSettingsTest(unittest.TestCase):
    """Options from the environment."""

    def test_all_parts_are_off_by_default(self) -> None:
        """Guards against a part that changes a deployment which has not asked for it."""
        options = load_scheduler_options({"LAGOONSHELF_SETTINGS": "boot.json"}).unwrap()
        self.assertEqual(options, DEFAULT_OPTIONS)

    def test_bad_values_name_their_variable(self) -> None:
        """Guards against a misspelt or negative setting that is silently ignored."""
        for name, text in (("USAGE_HALF_LIFE_H", "-1"), ("REFUSES_OVERLAOD", "1")):
            result = load_scheduler_options({f"LAGOONSHELF_SCHEDULER_{name}": text})
            self.assertIsInstance(result, Failure)
            self.assertIs(result.failure().code, ResultCode.BAD_SETTING)
            self.assertIn(name, result.failure().message)
