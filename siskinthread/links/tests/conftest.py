"""Fixtures of the link tests."""

from unittest import mock

import pytest

from siskinthread.links import _dialling


@pytest.fixture(scope="module", autouse=True)
def quick_redial():
    """Shorten the back-off between dials."""
    with mock.patch.object(_dialling, "FIRST_REDIAL_WAIT_S", 0.0005):
        yield
