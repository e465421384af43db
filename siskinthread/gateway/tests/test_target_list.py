"""Available targets, around departures and outages of the list."""

import random

from siskinthread.gateway._departures import REMEMBERED_LIMIT
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._request import LoadReport
from siskinthread.gateway._target_list import TargetList
from siskinthread.gateway.tests.parts import clock, entry, ids, SETTINGS
from siskinthread.observability import Metrics


def build():
    """Return a list with two targets, and its clock."""
    now = clock()
    targets = TargetList(SETTINGS, now)
    targets.replace([entry("i-1"), entry("i-2")])
    return targets, now


def test_vanished_target_is_gone_at_once():
    """Without an outage, a target that is no longer listed is removed at once."""
    targets, _ = build()
    targets.note_unlisted("i-1")
    assert ids(targets.serving("app")) == ["i-2"]


def test_targets_that_expire_in_an_outage_are_kept_for_a_grace_period():
    """Guards against refusing all requests for want of a target after an outage.

    Entries expire while the list is unavailable; it returns without them, and the
    targets report again within two seconds.
    """
    targets, now = build()
    targets.note_outage_end()
    now.advance(1.0)
    targets.replace([])
    assert ids(targets.serving("app")) == ["i-1", "i-2"]
    targets.put(entry("i-1"))
    now.advance(1.5)
    assert ids(targets.serving("app")) == ["i-1"]


def test_leaving_target_is_not_kept_in_an_outage():
    """Guards against keeping a leaving target when its entry expires in an outage."""
    targets, _ = build()
    targets.put(entry("i-1", is_leaving=True))
    targets.note_outage_end()
    targets.note_unlisted("i-1")
    assert ids(targets.serving("app")) == ["i-2"]


def test_late_report_does_not_reinstate_a_leaving_target():
    """Guards against requests to a leaving target.

    An older report is read after the target has announced that it leaves.
    """
    targets, _ = build()
    targets.put(entry("i-1", is_leaving=True))
    targets.put(entry("i-1"))
    assert ids(targets.serving("app")) == ["i-2"]


def test_target_that_vanished_may_report_again():
    """A target that was only partitioned for some time serves again."""
    targets, _ = build()
    targets.note_unlisted("i-1")
    targets.put(entry("i-1"))
    assert sorted(ids(targets.serving("app"))) == ["i-1", "i-2"]


def test_listeners_are_notified_once_of_each_target_that_leaves():
    """Listeners close the idle connections to the target."""
    targets, _ = build()
    notified = []
    targets.listen(lambda one: notified.append(one.instance_id))
    targets.put(entry("i-1", is_leaving=True))
    targets.note_unlisted("i-1")
    targets.note_leaving("i-2", "its successor")
    targets.note_leaving("i-2", "its successor")
    assert notified == ["i-1", "i-2"]


def test_state_of_targets_that_are_gone_is_dropped():
    """Guards against memory that grows with each target that is replaced."""
    now = clock()
    parts = GatewayParts(SETTINGS, "a", None, now, Metrics(), random.Random(1))
    parts.targets.put(entry("i-1"))
    parts.loads.report("i-1", LoadReport(1, 0, 6))
    parts.health.failed("i-1", "can't connect")
    parts.targets.note_unlisted("i-1")
    assert not parts.health.is_ejected("i-1")
    assert parts.loads.total("i-1") == 0


def test_target_that_restarts_under_its_listed_id_serves_again():
    """Guards against confusing the instances of a restarted target.

    A target announces that it leaves, restarts under the same listed id, and a late
    report of its first start is read.  The new instance must get requests, the old one
    none.
    """
    targets, _ = build()
    first = entry("i-1@1", listed_id="i-1")
    targets.replace([first, entry("i-2")])
    targets.put(entry("i-1@1", is_leaving=True, listed_id="i-1"))
    assert ids(targets.serving("app")) == ["i-2"]
    targets.put(entry("i-1@2", listed_id="i-1"))
    assert sorted(ids(targets.serving("app"))) == ["i-1@2", "i-2"]
    targets.put(first)
    assert sorted(ids(targets.serving("app"))) == ["i-1@2", "i-2"]
    targets.note_unlisted("i-1")
    assert ids(targets.serving("app")) == ["i-2"]


def test_leaving_target_is_not_reinstated_by_a_list():
    """Guards against lists, also of peers that keep the target, that are outdated."""
    targets, _ = build()
    targets.note_leaving("i-1", "its answer")
    targets.put(entry("i-1"))
    targets.replace([entry("i-1"), entry("i-2")], is_authoritative=True)
    assert ids(targets.serving("app")) == ["i-2"]
    targets.note_unlisted("i-1")
    targets.replace_by_older([entry("i-1"), entry("i-2")])
    assert ids(targets.serving("app")) == ["i-2"]


def test_removed_target_is_not_reinstated_by_a_peer_that_keeps_it():
    """Guards against a host that is back from a partition and keeps a removed target.

    It sends the target to its peers as part of a snapshot.
    """
    targets, _ = build()
    targets.replace([entry("i-2")], is_authoritative=True)
    present = targets.without_gone([entry("i-1"), entry("i-2"), entry("i-3")], {"i-1"})
    assert ids(present) == ["i-2", "i-3"]
    # A target that is unknown to this process, or listed by the peer, is accepted.
    assert ids(targets.without_gone([entry("i-3")], {"i-3"})) == ["i-3"]
    assert ids(targets.without_gone([entry("i-1")], set())) == ["i-1"]


def test_kept_targets_are_distinguished():
    """A peer that fetches the list must know which targets are only kept."""
    targets, _ = build()
    targets.note_outage_end()
    targets.note_unlisted("i-1")
    assert targets.kept_ids() == {"i-1"}


def test_unlisted_target_that_announces_its_departure_is_not_reinstated():
    """The answer of a stream arrives after the target has vanished from the list."""
    targets, _ = build()
    targets.note_unlisted("i-1")
    targets.note_leaving("i-1", "its answer")
    targets.put(entry("i-1"))
    assert ids(targets.serving("app")) == ["i-2"]


def test_departure_that_a_peer_announces_is_noted_and_forwarded():
    """Guards against a request of each entry to a leaving target."""
    sender, _ = build()
    sender.note_leaving_answer("i-1")
    receiver, now = build()
    receiver.note_peer_departures(sender.leaving_statements(), "peer")
    assert ids(receiver.serving("app")) == ["i-2"]
    now.advance(SETTINGS.leaving_told_s / 2)
    [stated] = receiver.leaving_statements()
    assert (stated.instance_id, stated.age_s) == ("i-1", SETTINGS.leaving_told_s / 2)


def test_departure_is_not_announced_for_ever():
    """Guards against entries that repeat a departure to one another without end."""
    first, _ = build()
    second, now = build()
    first.note_leaving_answer("i-1")
    statements = first.leaving_statements()
    now.advance(SETTINGS.leaving_told_s)
    statements[0].age_s = SETTINGS.leaving_told_s
    second.note_peer_departures(statements, "peer")
    assert ids(second.serving("app")) == ["i-1", "i-2"]
    second.note_leaving_answer("i-1")
    now.advance(SETTINGS.leaving_told_s)
    assert second.leaving_statements() == []
    assert ids(second.serving("app")) == ["i-2"]


def test_number_of_remembered_departures_is_bounded():
    """Guards against memory that grows with each target that has left, over months."""
    targets, _ = build()
    for number in range(3 * REMEMBERED_LIMIT):
        targets.note_leaving(f"i-{number + 10}", "its answer")
    assert len(targets._departures) == REMEMBERED_LIMIT
    assert targets.has_left(f"i-{3 * REMEMBERED_LIMIT + 9}")


def test_state_of_a_target_is_dropped_at_its_restart():
    """Guards against the ejection of a target that has just restarted.

    Requests to a target fail, and it restarts under the same listed id.
    """
    now = clock()
    metrics = Metrics()
    parts = GatewayParts(SETTINGS, "a", None, now, metrics, random.Random(1))
    parts.targets.put(entry("i-1@1", listed_id="i-1"))
    parts.loads.report("i-1@1", LoadReport(5, 0, 6))
    parts.health.failed("i-1@1", "reset")
    parts.targets.put(entry("i-1@2", listed_id="i-1"))
    assert not parts.health.is_ejected("i-1@2")
    assert parts.loads.total("i-1@2") == 0
    assert not parts.health.is_ejected("i-1@1")
