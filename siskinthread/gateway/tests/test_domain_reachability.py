"""Unreachable failure domains get no requests until they are reachable again."""

import random
import socket

import curio

from siskinthread.gateway import GatewaySettings, TargetEntry
from siskinthread.gateway._domain_reachability import DomainReachability
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._reachability_checks import ReachabilityChecks
from siskinthread.gateway.tests.parts import clock, entry, ids, SETTINGS
from siskinthread.observability import Metrics
from siskinthread.timing import SYSTEM_CLOCK

LOOPBACK = "127.0.0.1"
CHECKED_SETTINGS = GatewaySettings(reachability_check_s=0.05, connect_limit_s=0.2)


def far(number, domain="b"):
    """Return a target of another failure domain."""
    return entry(f"i-{domain}{number}", domain=domain)


def test_requests_stop_at_a_partition_instead_of_at_each_target():
    """Guards against a connect time-out for each target behind a partition."""
    reachability = DomainReachability(SETTINGS, clock())
    targets = [far(number) for number in range(24)]
    timed_out_count = 0
    for target in targets:
        if reachability.reachable([target]):
            timed_out_count += 1
            reachability.note_unreachable(target, len(targets))
    assert timed_out_count == SETTINGS.reachability_count
    assert reachability.cut_off_count() == 1


def test_failure_domain_with_some_unreachable_targets_stays_in_use():
    """Guards against excluding a domain because of a few targets without power."""
    reachability = DomainReachability(SETTINGS, clock())
    for number in range(20):
        reachability.note_unreachable(far(number), 24)
        reachability.note_reached("b")
    assert not reachability.is_cut_off("b")


def test_old_failures_do_not_accumulate():
    """Guards against excluding a domain for single failures that are far apart."""
    now = clock()
    reachability = DomainReachability(SETTINGS, now)
    for number in range(20):
        reachability.note_unreachable(far(number), 24)
        now.advance(SETTINGS.reachability_window_s)
    assert not reachability.is_cut_off("b")


def test_first_failure_schedules_a_check():
    """Guards against detecting a partition only by the time-outs of requests."""
    now = clock()
    reachability = DomainReachability(SETTINGS, now)
    assert reachability.next_check_s() is None
    reachability.note_unreachable(far(1), 24)
    assert reachability.due_checks() == {"b": SETTINGS.reachability_count - 1}
    assert reachability.due_checks() == {}
    assert reachability.next_check_s() == SETTINGS.reachability_check_s


def test_only_the_failure_domain_behind_the_partition_is_excluded():
    """Guards against excluding targets of other failure domains."""
    reachability = DomainReachability(SETTINGS, clock())
    near = entry("i-a1")
    for number in range(3):
        reachability.note_unreachable(far(number), 3)
    assert ids(reachability.reachable([near, far(7)])) == ["i-a1"]


def test_failure_domain_is_used_again_after_a_check():
    """Guards against targets that stay ejected after the end of a partition."""

    async def main():
        listener = curio.network.tcp_server_socket(LOOPBACK, 0, backlog=8)
        port = listener.getsockname()[1]
        parts = _parts(port)
        for target in parts.targets.entries():
            parts.health.failed(target.instance_id, "can't connect")
            parts.reachability.note_unreachable(target, 3)
        assert parts.reachability.is_cut_off("b")
        await _run_until(parts, lambda: not parts.reachability.is_cut_off("b"))
        assert not any(
            parts.health.is_ejected(one.instance_id) for one in parts.targets.entries()
        )
        await listener.close()

    curio.run(main)


def test_checks_show_a_partition_after_one_failed_request():
    """Guards against several requests that are delayed by the same partition."""

    async def main():
        with socket.socket() as unused:
            unused.bind((LOOPBACK, 0))
            parts = _parts(unused.getsockname()[1])
            first = parts.targets.entries()[0]
            await parts.reachability_checks.note_unreachable(first)
            await _run_until(parts, lambda: parts.reachability.is_cut_off("b"))

    curio.run(main)


def _parts(port):
    parts = GatewayParts(
        CHECKED_SETTINGS, "a", None, SYSTEM_CLOCK, Metrics(), random.Random(1)
    )
    parts.targets.replace(
        [
            TargetEntry(f"i-{number}", "app", LOOPBACK, port, "b", 6, False)
            for number in range(3)
        ]
    )
    return parts


async def _run_until(parts, is_done):
    task = await curio.spawn(ReachabilityChecks.run, parts.reachability_checks)
    async with curio.timeout_after(5.0):
        while not is_done():
            await curio.sleep(0.01)
    await task.cancel()
