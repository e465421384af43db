"""Which targets are believed to serve, around leaving and outages of the list."""

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
    """Without an outage the list is taken at its word."""
    targets, _ = build()
    targets.vanish("i-1")
    assert ids(targets.serving("app")) == ["i-2"]


def test_targets_that_lapse_in_an_outage_are_kept_for_a_while():
    """Symptom: every request is refused for want of a target after an outage.

    Events: entries lapse while the list is away; it returns without them, and the
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


def test_leaving_in_an_outage_is_not_forgotten():
    """A target that had said that it leaves does not come back by its lapse."""
    targets, _ = build()
    targets.put(entry("i-1", is_leaving=True))
    targets.note_outage_end()
    targets.vanish("i-1")
    assert ids(targets.serving("app")) == ["i-2"]


def test_late_report_does_not_bring_a_leaving_target_back():
    """Symptom: a leaving target gets requests again.

    Events: it has said that it leaves; an older report of it is read afterwards.
    """
    targets, _ = build()
    targets.put(entry("i-1", is_leaving=True))
    targets.put(entry("i-1"))
    assert ids(targets.serving("app")) == ["i-2"]


def test_target_that_vanished_may_report_again():
    """A target that was only cut off for a while serves again."""
    targets, _ = build()
    targets.vanish("i-1")
    targets.put(entry("i-1"))
    assert sorted(ids(targets.serving("app"))) == ["i-1", "i-2"]


def test_listeners_hear_once_of_each_target_that_leaves():
    """Kept connections are closed by what listeners are told."""
    targets, _ = build()
    told = []
    targets.listen(lambda one: told.append(one.instance_id))
    targets.put(entry("i-1", is_leaving=True))
    targets.vanish("i-1")
    targets.note_leaving("i-2", "its successor")
    targets.note_leaving("i-2", "its successor")
    assert told == ["i-1", "i-2"]


def test_nothing_is_kept_of_targets_that_are_gone():
    """Symptom: memory grows with each target that is replaced."""
    now = clock()
    parts = GatewayParts(SETTINGS, "a", None, now, Metrics(), random.Random(1))
    parts.targets.put(entry("i-1"))
    parts.loads.report("i-1", LoadReport(1, 0, 6))
    parts.health.failed("i-1", "can't connect")
    parts.targets.vanish("i-1")
    assert not parts.health.is_passed_over("i-1")
    assert parts.loads.total("i-1") == 0


def test_target_that_starts_anew_under_its_id_serves_again():
    """Symptom: a server that is back under its id gets no request, or an old one does.

    Events: a target announces its leaving, starts anew under the same id, and a late
    report of its first start is read.  Cause: what was known was kept by the id alone.
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
    targets.vanish("i-1")
    assert ids(targets.serving("app")) == ["i-2"]


def test_target_that_said_it_leaves_is_not_brought_back_by_a_list():
    """A list, or a peer that kept the target by grace, had it as ready still."""
    targets, _ = build()
    targets.note_leaving("i-1", "its answer")
    targets.put(entry("i-1"))
    targets.replace([entry("i-1"), entry("i-2")], is_authoritative=True)
    assert ids(targets.serving("app")) == ["i-2"]
    targets.vanish("i-1")
    targets.replace_by_older([entry("i-1"), entry("i-2")])
    assert ids(targets.serving("app")) == ["i-2"]


def test_target_that_is_gone_is_not_listed_again_by_a_peer_that_keeps_it():
    """A host back from a cut handed on a gone server that it kept by grace."""
    targets, _ = build()
    targets.replace([entry("i-2")], is_authoritative=True)
    told = targets.without_gone([entry("i-1"), entry("i-2"), entry("i-3")], {"i-1"})
    assert ids(told) == ["i-2", "i-3"]
    # One that this process has not known, or that the peer has listed, may be there.
    assert ids(targets.without_gone([entry("i-3")], {"i-3"})) == ["i-3"]
    assert ids(targets.without_gone([entry("i-1")], set())) == ["i-1"]


def test_kept_targets_are_told_apart():
    """Whoever takes the list over must know which of them only lapsed."""
    targets, _ = build()
    targets.note_outage_end()
    targets.vanish("i-1")
    assert targets.kept_ids() == {"i-1"}


def test_target_that_said_it_leaves_while_it_was_not_listed_stays_away():
    """The answer of a stream came after the target had vanished from the list."""
    targets, _ = build()
    targets.vanish("i-1")
    targets.note_leaving("i-1", "its answer")
    targets.put(entry("i-1"))
    assert ids(targets.serving("app")) == ["i-2"]


def test_leaving_that_a_peer_was_told_of_is_taken_and_told_on():
    """Each entry sent a request to a leaving target before it knew."""
    sender, _ = build()
    sender.note_says_leaving("i-1")
    receiver, now = build()
    receiver.hear_leaving(sender.leaving_statements(), "peer")
    assert ids(receiver.serving("app")) == ["i-2"]
    now.advance(SETTINGS.leaving_told_s / 2)
    [told] = receiver.leaving_statements()
    assert (told.instance_id, told.age_s) == ("i-1", SETTINGS.leaving_told_s / 2)


def test_leaving_is_not_told_for_ever():
    """Entries told one another of a leaving target in turn, and never ceased."""
    first, _ = build()
    second, now = build()
    first.note_says_leaving("i-1")
    told = first.leaving_statements()
    now.advance(SETTINGS.leaving_told_s)
    told[0].age_s = SETTINGS.leaving_told_s
    second.hear_leaving(told, "peer")
    assert ids(second.serving("app")) == ["i-1", "i-2"]
    second.note_says_leaving("i-1")
    now.advance(SETTINGS.leaving_told_s)
    assert second.leaving_statements() == []
    assert ids(second.serving("app")) == ["i-2"]


def test_leaving_is_remembered_of_a_bounded_number_of_targets():
    """A process of months kept the id of each target that had ever left."""
    targets, _ = build()
    for number in range(3 * REMEMBERED_LIMIT):
        targets.note_leaving(f"i-{number + 10}", "its answer")
    assert len(targets._departures) == REMEMBERED_LIMIT
    assert targets.has_left(f"i-{3 * REMEMBERED_LIMIT + 9}")


def test_what_is_known_of_a_target_ends_with_its_start():
    """Symptom: a server that has just started is passed over.

    Events: requests to a target fail, and it starts anew under its id.
    """
    now = clock()
    metrics = Metrics()
    parts = GatewayParts(SETTINGS, "a", None, now, metrics, random.Random(1))
    parts.targets.put(entry("i-1@1", listed_id="i-1"))
    parts.loads.report("i-1@1", LoadReport(5, 0, 6))
    parts.health.failed("i-1@1", "reset")
    parts.targets.put(entry("i-1@2", listed_id="i-1"))
    assert not parts.health.is_passed_over("i-1@2")
    assert parts.loads.total("i-1@2") == 0
    assert not parts.health.is_passed_over("i-1@1")
