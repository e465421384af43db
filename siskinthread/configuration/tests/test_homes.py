"""Tests of the homes of idempotency keys while placements change."""

from siskinthread.configuration import HOMES_SETTLE_S, Placement, Selector
from siskinthread.configuration._fold import Fold
from siskinthread.configuration._homes import HOMES_KEPT_MS
from siskinthread.configuration.tests.fakes import body, first_objects, host, START_MS
from siskinthread.shared_services import LogRecord

SETTLE_MS = HOMES_SETTLE_S * 1000
SERVICE = first_objects()[2]


def folded(*changes):
    """Return the state after changes.

    Each change is a tuple of the time since the start in milliseconds, the objects to
    put and the objects to remove.
    """
    fold = Fold()
    for offset, (after_ms, put, removed) in enumerate(changes):
        raw = body(f"r{offset}", offset - 1, put, removed)
        fold.apply(LogRecord(offset, START_MS + after_ms, raw))
        assert fold.state.version == offset
    return fold.state


def test_retry_goes_to_the_home_of_its_first_issue():
    """Guards against a keyed request that runs twice.

    The request runs at the home of its key, the answer is lost, a change of placement
    moves the homes, and the retry must not go to the new home.
    """
    moved_ms = 100_000
    state = folded(
        (0, first_objects(), []),
        (moved_ms, [host("h3", zone="a")], [("hosts", "h1")]),
    )
    changed_ms = START_MS + moved_ms
    for issued_at_ms in (0, START_MS, changed_ms, changed_ms + SETTLE_MS):
        assert state.homes_at("varsel", issued_at_ms) == (0, ["h1", "h2"])
    later_ms = changed_ms + SETTLE_MS + 1
    assert state.homes_at("varsel", later_ms) == (1, ["h2", "h3"])
    assert state.homes_versions == {"varsel": 1}
    assert state.homes_changed_at_ms == {"varsel": changed_ms}


def test_service_published_again_does_not_forget_its_earlier_homes():
    """Guards against a keyed request that runs twice after its service was removed.

    The service is removed and published again with other hosts.  If its history were
    dropped, the new homes would apply to earlier keys too.
    """
    state = folded(
        (0, first_objects(), []),
        (60_000, [], [("services", "varsel")]),
        (120_000, [SERVICE, host("h3", zone="a")], [("hosts", "h1")]),
    )
    assert state.homes_at("varsel", START_MS) == (0, ["h1", "h2"])
    removed_ms = START_MS + 60_000 + SETTLE_MS + 1
    assert state.homes_at("varsel", removed_ms) == (1, [])
    assert state.homes_at("varsel", START_MS + 200_000) == (2, ["h2", "h3"])


def test_change_that_leaves_the_homes_alone_moves_nothing():
    """A version that changes only labels isn't a change of homes."""
    state = folded((0, first_objects(), []), (9, [host("h1", zone="b")], []))
    assert state.homes_versions == {"varsel": 0}


def test_first_homes_count_from_the_beginning():
    """The first homes of a service apply to keys issued before its placement."""
    placement = Placement("p", {}, Selector(""), Selector("zone in (a,b)"))
    without = [item for item in first_objects() if not isinstance(item, Placement)]
    state = folded((0, without, []), (5, [placement], []))
    assert state.homes_at("varsel", START_MS) == (1, ["h1", "h2"])


def test_old_homes_are_dropped_when_no_key_can_be_as_old():
    """The history of a service is bounded."""
    changes = [(0, first_objects(), [])]
    for day in range(1, 4):
        put = [host(f"n{day}", zone="a")]
        changes.append((day * HOMES_KEPT_MS + day, put, []))
    changes.append((5 * HOMES_KEPT_MS, [], [("services", "varsel")]))
    assert len(folded(*changes[:-1]).homes_histories["varsel"]) == 2
    changes.append((7 * HOMES_KEPT_MS, [host("n9", zone="a")], []))
    assert folded(*changes).homes_histories == {}
