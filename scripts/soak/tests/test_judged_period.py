"""The period at the end of a run in which recovery is judged."""

from scripts.soak._judged_period import JUDGED_END_S, JudgedPeriod, LONGEST_COLD_S
from scripts.soak._pauses import Pause, Pauses
from scripts.soak._system import ServerNode

RECOVERED_S = 100.0


def servers(*cold_until_s):
    """Return servers that are cold until the given monotonic times."""
    nodes = [ServerNode(number, (1, 2)) for number in range(len(cold_until_s))]
    for node, until_s in zip(nodes, cold_until_s, strict=True):
        node.cold_until_s = until_s
    return nodes


def test_servers_that_are_warm_move_nothing():
    """Guards against an end that is judged later than 6 s after the last fault."""
    period = JudgedPeriod(servers(0.0, RECOVERED_S - 1), RECOVERED_S, Pauses())
    assert not period.has_ended(RECOVERED_S + JUDGED_END_S - 0.01)
    assert period.has_ended(RECOVERED_S + JUDGED_END_S)
    assert period.from_s == RECOVERED_S


def test_end_is_judged_from_when_the_last_server_is_warm():
    """Guards against judging servers that crashed after the faults and are cold."""
    nodes = servers(RECOVERED_S + 2, RECOVERED_S + 3)
    period = JudgedPeriod(nodes, RECOVERED_S, Pauses())
    assert not period.has_ended(RECOVERED_S + 4)
    nodes[0].cold_until_s = RECOVERED_S + 8
    assert not period.has_ended(RECOVERED_S + 9.9)
    assert period.has_ended(RECOVERED_S + 10)
    nodes[0].cold_until_s = RECOVERED_S + 14
    assert period.has_ended(RECOVERED_S + 10)
    assert period.from_s == RECOVERED_S + 8


def test_servers_that_go_on_ending_are_judged_all_the_same():
    """Guards against an endless run if a defect makes servers crash repeatedly."""
    nodes = servers(0.0)
    period = JudgedPeriod(nodes, RECOVERED_S, Pauses())
    latest_s = RECOVERED_S + LONGEST_COLD_S
    nodes[0].cold_until_s = latest_s + 3
    assert period.has_ended(latest_s + JUDGED_END_S)
    assert period.from_s == latest_s


def test_pause_leaves_callers_the_whole_time():
    """Guards against a pause of the machine that leaves only 15 requests to judge."""
    pauses = Pauses()
    period = JudgedPeriod(servers(0.0), RECOVERED_S, pauses)
    pauses.of_soak = [Pause(RECOVERED_S - 2, RECOVERED_S + 1)]
    assert not period.has_ended(RECOVERED_S + JUDGED_END_S + 0.9)
    assert period.has_ended(RECOVERED_S + JUDGED_END_S + 1)
