"""Tests of eras and of positions within them."""

import curio
import pytest

from siskinthread.observability import Metrics
from siskinthread.source_eras import EraWatch, Position


@pytest.mark.parametrize(
    ("one", "other", "expected"),
    [
        ((1, 5), (1, 6), True),
        ((1, 6), (1, 6), False),
        ((1, 90), (2, 3), True),
        ((2, 3), (1, 90), False),
        ((None, 5), (None, 6), True),
        ((None, 5), (1, 6), False),
        ((1, 5), (None, 6), False),
    ],
)
def test_position_is_behind_one_with_more_records_or_of_a_later_era(
    one, other, expected
):
    """Offsets from before and after a restore are not compared with each other."""
    assert Position(*one).is_behind(Position(*other)) is expected


def test_only_a_later_era_than_one_that_was_told_begins_an_era():
    """A late answer and an answer without an era change nothing."""
    begun = []

    async def note_begun():
        begun.append(watch.newest)

    async def note(*eras):
        for era in eras:
            await watch.note(era, told_by="test")

    watch = EraWatch(Metrics())
    watch.listen(note_begun)
    curio.run(note, None, 4, 4, None, 3, 5, 4, 9)
    assert begun == [5, 9]
    assert (watch.is_over(8), watch.is_over(9), watch.is_over(None)) == (
        True,
        False,
        False,
    )
