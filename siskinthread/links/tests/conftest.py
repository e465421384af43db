"""Fixtures of the link tests."""

from unittest import mock

import pytest

from siskinthread.links import _dialling


@pytest.fixture(scope="module", autouse=True)
def quick_redial():
    """Keep the back-off between dials, but make it short."""
    with mock.patch.object(_dialling, "FIRST_REDIAL_WAIT_S", 0.0005):
        yield
