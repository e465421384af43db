"""Tests of the report on expert maps, from the controllers to the output."""

import json
from pathlib import Path

import curio
import pytest

from siskinthread.control._survey import HostAnswer, StatusSettings
from siskinthread.control.tests.nodes import AgentNode, NodeSettings
from siskinthread.control.tests.test_status import host_list
from siskinthread.daemons._experts_status import group_status, no_group_status
from siskinthread.experts import ChangeResult, SkipReason, Verdict
from siskinthread.experts._report import ExpertsReport
from siskinthread.experts.operators import survey_agents
from siskinthread.experts.tests.group_bench import GROUP, run_bench
from siskinthread.ownership import Owner
from siskinthread.shared_services import HostEntry
from siskinthread.wire import ExpertSlots, ExpertsStatus

GOLDEN = Path(__file__).parent / "golden"
LOOPBACK = "127.0.0.1"
NO_PENDING_ORDERS = {"order_limit_s": 0.0}
SLOTS = ExpertSlots(slots_per_rank=2, expert_count=3, experts=[0, 1, 2, 0])
STATE = {
    "version": 9 << 20,
    "expert_slots": SLOTS,
    "skew": 1.3127,
    "skew_before": 1.31,
    "skew_after": 1.124,
    "verdict": "move",
    "pending_moves": 3,
    "changed_at_ms": 1_767_225_600_000,
    "result": "unfinished",
}


def answer(host, fencing=None, controls=False, group=GROUP, **state):
    """Return the answer of an agent."""
    status = ExpertsStatus(group, host, controls, fencing, **state)
    return HostAnswer(HostEntry(host, "agent", LOOPBACK, 1, "d1", False), status)


def silent(host, leaving=False):
    """Return the `HostAnswer` of an agent that did not answer."""
    entry = HostEntry(host, "agent", LOOPBACK, 1, "d1", leaving)
    return HostAnswer(entry, problem="no answer in time")


CONTROLLER = answer("a1", 9, True, **STATE)
SUPERSEDED_CONTROLLER = answer("a2", 7, True, **STATE | {"verdict": "balanced"})
FOLLOWER = answer("a3", 9)
UNAWARE = answer("a4", None)


@pytest.mark.parametrize("name, as_json", [("txt", False), ("json", True)])
def test_report_is_the_golden_one(name, as_json):
    """The report covers two claimants, a group without controller and silent agents."""
    report = ExpertsReport(
        [
            SUPERSEDED_CONTROLLER,
            CONTROLLER,
            FOLLOWER,
            answer("b1", 4, group="verdicts"),
            answer("c1", group=""),
            silent("c2"),
            silent("c3", leaving=True),
        ]
    )
    golden = (GOLDEN / f"experts_show.{name}").read_text()
    assert report.render(as_json, with_map=True) + "\n" == golden


def test_exit_codes_tell_lost_groups_from_silent_agents():
    """Each state of the groups has its documented exit code."""
    held = answer("a1", 9, True, **STATE | {"verdict": "recovery_unfinished"})
    cases = [
        (0, [CONTROLLER, FOLLOWER, answer("c1", group="")]),
        (0, [CONTROLLER, silent("c3", leaving=True)]),
        (3, [CONTROLLER, SUPERSEDED_CONTROLLER]),
        (3, [FOLLOWER, UNAWARE]),
        (3, [UNAWARE]),
        (3, [held]),
        (3, [answer("c1", group=""), silent("c2")]),
        (4, [CONTROLLER, silent("c2")]),
    ]
    codes = [ExpertsReport(answers, GROUP).exit_code for _, answers in cases]
    assert codes == [code for code, _ in cases]


def test_controller_that_was_overtaken_is_not_shown_as_in_force():
    """Guards against showing the state of a superseded controller as current.

    A controller has no connection to the log.  Its successor does not answer, but a
    third agent knows of the newer claim.
    """
    report = ExpertsReport([SUPERSEDED_CONTROLLER, FOLLOWER])
    assert report.groups[0].in_force is None
    text = report.render(as_json=False)
    assert "controller a2, fencing number 7, superseded" in text
    assert "newest known claim has fencing number 9" in text
    assert "skew" not in text
    assert report.exit_code == 3


def test_every_reason_of_a_controller_has_words():
    """Every known verdict is shown as a text, an unknown verdict as received."""
    for verdict in [*Verdict, *SkipReason]:
        text = ExpertsReport([answer("a1", 9, True, verdict=verdict)]).render(False)
        assert f"last verdict: {verdict}\n" not in text
    text = ExpertsReport([answer("a1", 9, True, verdict="newer_word")]).render(False)
    assert "last verdict: newer_word\n" in text


class Owned(AgentNode):
    """An agent that reports a given owner of the group."""

    def own(self, owner, controller):
        """Answer queries with an owner and the state of a controller."""

        def answer_experts(question):
            if question.group not in ("", GROUP):
                return no_group_status(self.name)
            return group_status(GROUP, self.identity, owner, controller)

        self.server.answer_experts = answer_experts


def owner_of(node, fencing):
    return Owner(node.name, node.identity.incarnation, fencing)


def test_agents_are_asked_and_a_silent_one_delays_no_other():
    """The state of controllers arrives over loopback, and a silent agent is reported.

    Two agents act as the controller, as after a pause in which the first was suspected.
    Another agent accepts connections and never answers.
    """

    async def scenario(bench):
        first, second = await bench.controller(7), await bench.controller(9)
        await bench.step(3)
        assert await first.run_once() is ChangeResult.CHANGED
        await second.run_once()
        settings = NodeSettings()
        nodes = [Owned(name, None, settings) for name in ("a1", "a2", "a3")]
        nodes[0].own(owner_of(nodes[0], 7), first)
        nodes[1].own(owner_of(nodes[1], 9), second)
        nodes[2].server.answer_experts = lambda question: no_group_status("a3")
        silent_node = AgentNode("a4", None, settings)
        async with host_list([*nodes, silent_node]) as address:
            tasks = [
                await curio.spawn(node.server.run, node._listening) for node in nodes
            ]
            status_settings = StatusSettings(
                host_list=address, peers=settings.peers, answer_wait_s=1.0
            )
            answers = await survey_agents(status_settings)
            other_answers = await survey_agents(status_settings, "another")
            for task in tasks:
                await task.cancel()
        report = ExpertsReport(answers)
        group = report.groups[0]
        assert [status.host for status in group.claimants] == ["a2", "a1"]
        assert group.in_force.fencing == 9
        assert group.in_force.version == second.expert_map.version
        assert group.claimants[1].result == ChangeResult.CHANGED
        shown = json.loads(report.render(as_json=True, with_map=True))
        assert shown["groups"][0]["state"]["ranks"] == second.expert_map.slots.tolist()
        assert [entry["host"] for entry in shown["no_answer"]] == ["a4"]
        assert not ExpertsReport(other_answers, "another").groups

    run_bench(scenario, **NO_PENDING_ORDERS)


def test_unfinished_change_is_pending_until_recovered():
    """Guards against showing no pending move while the group is held.

    A rank does not confirm the switch, and the next round recovers.  The moves must
    stay pending until then.
    """

    async def scenario(bench):
        controller = await bench.controller(fencing=7)
        broadcast = controller._ranks.broadcast
        lost = [True]

        async def lose_switches(orders):
            replies = await broadcast(orders)
            if lost[0] and type(next(iter(orders.values()))).__name__ == "Switch":
                replies[next(iter(replies))] = None
            return replies

        controller._ranks.broadcast = lose_switches
        await bench.step(3)
        assert await controller.run_once() is ChangeResult.UNFINISHED
        assert controller.result is ChangeResult.UNFINISHED
        assert controller.pending_moves == controller.last_plan.moves > 0
        lost[0] = False
        await bench.step(3)
        await controller.run_once()
        assert controller.result is ChangeResult.CHANGED
        assert controller.expert_map.version >= 7 << 20
        assert controller.pending_moves == 0

    run_bench(scenario, **NO_PENDING_ORDERS)


def test_host_that_lost_the_group_tells_nothing_of_its_past():
    """Only a claimant reports a state, and a new controller reports none."""

    async def scenario(bench):
        controller = await bench.controller(fencing=7, quiet=True)
        node = Owned("a1", None, NodeSettings())
        fresh = group_status(GROUP, node.identity, owner_of(node, 7), controller)
        assert (fresh.controls, fresh.verdict, fresh.version) == (True, None, None)
        await bench.step(3)
        await controller.run_once()
        own = group_status(GROUP, node.identity, owner_of(node, 7), controller)
        assert (own.verdict, own.version) == (Verdict.QUIET_WINDOW, 0)
        other = Owner("a2", "another", 9)
        lost = group_status(GROUP, node.identity, other, controller)
        assert (lost.controls, lost.fencing) == (False, 9)
        assert (lost.verdict, lost.version, lost.skew) == (None, None, None)

    run_bench(scenario, **NO_PENDING_ORDERS)
