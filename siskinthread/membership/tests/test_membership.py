"""The membership view under faults of the host list."""

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.membership import (
    follow_host_list,
    MembershipSettings,
    MembershipView,
)
from siskinthread.observability import Metrics
from siskinthread.settings import Address
from siskinthread.shared_services import HostEntry, PlatformSettings
from siskinthread.timing import ManualClock

DOMAINS = ("trondheim-a", "trondheim-b", "steinkjer")


def lines(agent_count=12, entry_count=6, leaving=()):
    """Return a whole host list."""
    agents = [
        HostEntry(f"agent-{i}", "agent", "127.0.0.1", 1, DOMAINS[i % 3], False)
        for i in range(agent_count)
    ]
    entries = [
        HostEntry(f"entry-{i}", "entry", "127.0.0.1", 1, DOMAINS[i % 3], False)
        for i in range(entry_count)
    ]
    for line in agents:
        line.leaving = line.host in leaving
    return agents + entries


def without(hosts, listed):
    """Return a host list that lacks some hosts."""
    return [line for line in listed if line.host not in hosts]


@pytest.fixture
def clock():
    """Return a clock that the test moves."""
    return ManualClock()


@pytest.fixture
def connected():
    """Return the set of hosts whose links are alive."""
    return set()


@pytest.fixture
def view(clock, connected):
    """Return a view of 12 agents and 6 entry hosts."""
    view = MembershipView(MembershipSettings(), clock, lambda host: host in connected)
    assert view.replace(lines())
    return view


def test_empty_list_removes_nobody(view):
    """Symptom: all links close and every request is refused ``no_target``.

    Events: the host list answers, but with an empty list, for a long time.  Cause: the
    answer was believed.
    """
    assert not view.replace([])
    assert len(view.agents()) == 12
    assert len(view.entries()) == 6


def test_empty_list_removes_no_lone_host(clock):
    """The last hosts of a small list stay too, though each alone may vanish."""
    view = MembershipView(MembershipSettings(), clock)
    view.replace(lines(agent_count=1, entry_count=0))
    assert not view.replace([])
    assert set(view.agents()) == {"agent-0"}


def test_cut_short_list_removes_nobody(view, clock, connected):
    """Symptom: most links close at once although the agents run.

    Events: the list comes cut short again and again.  Cause: absence from the list was
    taken for a removal.  Hosts with a live link stay for as long as that lasts, hosts
    without one until the hold has passed.
    """
    connected.update(f"agent-{i}" for i in range(11))
    for _ in range(200):
        assert not view.replace(lines(agent_count=3))
        clock.advance(1.0)
    assert set(view.agents()) == {f"agent-{i}" for i in range(11)}
    assert not any(view.is_leaving(host) for host in view.agents())


def test_list_that_decays_step_by_step_is_not_believed(view, clock):
    """Symptom: the same as with a cut list, but over half a minute.

    Events: each answer lacks one host more.  Cause: each step alone is plausible.
    """
    for count in range(11, 0, -1):
        view.replace(lines(agent_count=count))
        clock.advance(2.0)
    assert len(view.agents()) >= 8


def test_list_without_a_whole_failure_domain_keeps_its_hosts(view, connected):
    """A cut between the list and a failure domain does not remove that domain."""
    lost = {line.host for line in lines() if line.failure_domain == "steinkjer"}
    connected.update(lost)
    view.replace(without(lost, lines()))
    assert lost <= set(view.agents()) | set(view.entries())


def test_stale_list_does_not_cut_off_what_runs(view, clock, connected):
    """Symptom: requests in flight end broken when the list drops their host.

    Events: a host goes; the list drops it while its streams still run.  Cause: its
    link was closed at once.  It gets no new work, but keeps its link for the grace.
    """
    connected.add("agent-3")
    listed = without({"agent-3"}, lines())
    assert view.replace(listed)
    assert "agent-3" in view.agents()
    assert view.is_leaving("agent-3")
    clock.advance(31.0)
    view.replace(listed)
    assert "agent-3" not in view.agents()


def test_dead_host_that_the_list_drops_is_removed(view):
    """Without a live link, a plausible removal is followed at once."""
    view.replace(without({"agent-3"}, lines()))
    assert "agent-3" not in view.agents()


def test_announced_leaving_in_any_number_is_believed(view):
    """Hosts that were listed as leaving may vanish together."""
    leaving = {f"agent-{i}" for i in range(8)}
    view.replace(lines(leaving=leaving))
    assert all(view.is_leaving(host) for host in leaving)
    assert view.replace(without(leaving, lines()))
    assert set(view.agents()) == {f"agent-{i}" for i in range(8, 12)}


def test_host_that_comes_back_is_whole_again(view, connected):
    """A host that the list dropped and shows again gets new work."""
    connected.add("agent-3")
    view.replace(without({"agent-3"}, lines()))
    view.replace(lines())
    assert not view.is_leaving("agent-3")


def test_entries_that_vanished_count_for_limits(view, clock):
    """Symptom: one account gets more than its limit during a partition.

    Events: an entry host can't see the others any more, as can't they.  Cause: each
    divided the limit by the few that it saw.
    """
    gone = {f"entry-{i}" for i in range(1, 6)}
    view.replace(without(gone, lines()))
    clock.advance(500.0)
    view.replace(without(gone, lines()))
    assert view.declared_entry_count() == 6


def test_entries_count_through_an_outage_of_any_length(view, clock):
    """Symptom: each entry host grants every account its whole limit.

    Events: the host list is down for longer than vanished hosts are remembered.  Cause:
    hosts counted from when they were last read, and none was left.
    """
    clock.advance(10_000.0)
    assert view.declared_entry_count() == 6


def test_unchanged_answer_still_ends_a_grace(view, clock, connected):
    """The same answer again removes a held host once its grace has passed."""
    connected.add("agent-3")
    answer = without({"agent-3"}, lines())
    view.replace(answer)
    clock.advance(31.0)
    view.replace(answer)
    assert "agent-3" not in view.agents()


def test_declared_count_follows_in_the_end(view, clock):
    """After the memory has passed, hosts that are gone no longer count."""
    gone = {"entry-5"}
    view.replace(without(gone, lines()))
    for _ in range(7):
        clock.advance(100.0)
        view.replace(without(gone, lines()))
    assert view.declared_entry_count() == 5


def test_listeners_hear_of_changes_only(view):
    """A listener is called once for a change and not for an equal list."""
    heard = []
    view.listen(heard.append)
    view.replace(lines())
    assert heard == []
    view.replace(lines(leaving={"agent-1"}))
    assert heard == [view]


class ScriptEndError(Exception):
    """The scripted answers are used up."""


class ScriptedClient:
    """A host list client with given answers; None is an outage."""

    def __init__(self, answers):
        self._answers = iter(answers)

    async def fetch(self):
        """Return or raise the next answer."""
        for answer in self._answers:
            if answer is None:
                raise PlatformUnavailableError("no answer")
            return answer
        raise ScriptEndError


def test_outage_keeps_the_last_list(clock):
    """Symptom: membership stands still, or hosts are lost, after an outage of the list.

    Events: the list is down, answers, is down, answers nothing, and answers again.
    Cause: the follower ended with the first outage, or took it for an empty list.
    """
    settings = PlatformSettings(
        log=Address("127.0.0.1", 1),
        host_list=Address("127.0.0.1", 1),
        host_list_interval_s=0.0,
    )
    view = MembershipView(MembershipSettings(), clock)
    sizes = []
    view.listen(lambda view: sizes.append(len(view.agents())))
    client = ScriptedClient([None, lines(), None, [], None, lines(agent_count=13)])
    with pytest.raises(ScriptEndError):
        curio.run(follow_host_list, client, view, settings, clock, Metrics())
    assert sizes == [12, 13]
