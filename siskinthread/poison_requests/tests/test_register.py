"""Which requests are blocked, and that all hosts reach the same decision."""

import random

import curio
import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from siskinthread.errors import ProtocolError
from siskinthread.poison_requests import (
    CrashStatement,
    PoisonRegister,
    PoisonSettings,
    SuspectStatement,
)
from siskinthread.timing import ManualClock

# Without a pause, so that the limit of crashes applies alone.
SETTINGS = PoisonSettings(suspects_limit=20, told_limit=6, pause_s=0.0)
PAUSING = PoisonSettings()
POISON = "5f0c"
OTHER = "77aa"


def build(clock=None, settings=SETTINGS):
    """Return a register and its clock."""
    clock = ManualClock() if clock is None else clock
    return PoisonRegister(settings, clock), clock


async def crash_targets(register, fingerprint, *targets):
    """Record that targets have crashed during a request."""
    for target in targets:
        await register.target_crashed(fingerprint, target)


async def send_statements(sender, *receivers):
    """Send the statements of a register to others."""
    for receiver in receivers:
        await receiver.hear(sender.statements(), "peer")


def test_third_crash_blocks_the_request():
    """Two crashes during a request may be chance; the third one blocks it."""

    async def run():
        register, clock = build()
        await crash_targets(register, POISON, "i-1", "i-2")
        assert register.blocked_until(POISON) is None
        clock.advance(5.0)
        await crash_targets(register, POISON, "i-3")
        return register.blocked_until(POISON).left_s()

    assert curio.run(run) == pytest.approx(SETTINGS.keep_off_s)


def test_request_pauses_after_two_crashes_and_is_then_tried_once_more():
    """A request crashes targets of its group three times in a row.

    After two crashes it pauses, so that the third try reaches a service that has
    recovered; the third crash blocks it for a long time.
    """

    async def run():
        register, clock = build(settings=PAUSING)
        await crash_targets(register, POISON, "i-1")
        assert register.blocked_until(POISON) is None
        await crash_targets(register, POISON, "i-2")
        paused_s = register.blocked_until(POISON).left_s()
        clock.advance(PAUSING.pause_s)
        assert register.blocked_until(POISON) is None
        await crash_targets(register, POISON, "i-3")
        return paused_s, register.blocked_until(POISON).left_s()

    paused_s, blocked_s = curio.run(run)
    assert paused_s == pytest.approx(PAUSING.pause_s)
    assert blocked_s == pytest.approx(PAUSING.keep_off_s)


def test_request_at_two_crashes_by_chance_is_served_after_its_pause():
    """A harmless request is refused for ten minutes.

    Many targets crash at once, twice, and the request is at one of them each time.
    After its pause it is answered, and is not paused again.
    """

    async def run():
        register, clock = build(settings=PAUSING)
        await crash_targets(register, POISON, "i-1", "i-2")
        clock.advance(PAUSING.pause_s)
        await register.answered(POISON)
        clock.advance(PAUSING.answered_s + 1)
        await crash_targets(register, POISON, "i-3")
        return register.blocked_until(POISON)

    assert curio.run(run) is None


def test_crashes_that_several_hosts_observed_count_once():
    """A request is blocked too late, or after one crash that three hosts observed.

    Three hosts lose a request at targets, two of them at the same one; each reports to
    the others, some of it twice.
    """

    async def run():
        clock = ManualClock()
        one, two, three = (build(clock)[0] for _ in range(3))
        await crash_targets(one, POISON, "i-1")
        await crash_targets(two, POISON, "i-1")
        await crash_targets(three, POISON, "i-2")
        for _ in range(2):
            for sender in (one, two, three):
                await send_statements(sender, one, two, three)
        assert [r.blocked_until(POISON) for r in (one, two, three)] == [None] * 3
        await crash_targets(two, POISON, "i-3")
        await send_statements(two, one, three)
        return [r.blocked_until(POISON) is not None for r in (one, two, three)]

    assert curio.run(run) == [True] * 3


def test_answer_clears_a_request_everywhere_for_good():
    """A harmless request is refused by some hosts.

    Three targets crash during it for another reason; a fourth one answers it, and a
    host that does not know of the answer still reports the crashes.
    """

    async def run():
        clock = ManualClock()
        one, two = build(clock)[0], build(clock)[0]
        await crash_targets(one, POISON, "i-1", "i-2", "i-3")
        await send_statements(one, two)
        await two.answered(POISON)
        assert two.blocked_until(POISON) is None
        await send_statements(one, two)
        assert two.blocked_until(POISON) is None
        await send_statements(two, one)
        return one.blocked_until(POISON)

    assert curio.run(run) is None


def test_frequent_request_is_not_suspected():
    """A status request of an account is refused for ten minutes.

    All targets of a small service crash at the same time, each during the same request,
    which was answered just before.
    """

    async def run():
        register, clock = build()
        await register.answered(POISON)
        clock.advance(SETTINGS.answered_s / 2)
        await crash_targets(register, POISON, "i-1", "i-2", "i-3")
        peer, _ = build(clock)
        await crash_targets(peer, POISON, "i-1", "i-2", "i-3")
        await send_statements(peer, register)
        return register.blocked_until(POISON)

    assert curio.run(run) is None


def test_request_that_starts_to_crash_targets_is_detected():
    """A request that was answered an hour ago may crash all targets.

    The targets were replaced by others, which it crashes.
    """

    async def run():
        register, clock = build()
        await register.answered(POISON)
        clock.advance(SETTINGS.answered_s + 0.1)
        await crash_targets(register, POISON, "i-1", "i-2", "i-3")
        return register.blocked_until(POISON) is not None

    assert curio.run(run)


def test_request_is_tried_again_later_and_blocked_after_one_more_crash():
    """A request is served after a fix; without a fix, one crash blocks it again."""

    async def run():
        register, clock = build()
        await crash_targets(register, POISON, "i-1", "i-2", "i-3")
        clock.advance(SETTINGS.keep_off_s)
        assert register.blocked_until(POISON) is None
        await crash_targets(register, POISON, "i-4")
        blocked_s = register.blocked_until(POISON).left_s()
        clock.advance(SETTINGS.memory_s + 1)
        register.statements()
        await crash_targets(register, POISON, "i-5")
        return blocked_s, register.blocked_until(POISON)

    assert curio.run(run) == (pytest.approx(SETTINGS.keep_off_s), None)


def test_memory_and_reports_are_bounded_and_keep_the_worst():
    """A host runs out of memory, or its reports exceed a datagram.

    Servers crash all the time, each with other requests under way.
    """

    async def run():
        register, clock = build()
        await crash_targets(register, POISON, "i-1", "i-2", "i-3")
        for number in range(1000):
            clock.advance(0.01)
            await crash_targets(register, f"{number:04x}", f"j-{number}")
            assert len(register.statements()) <= SETTINGS.told_limit
        for number in range(100):
            await crash_targets(register, OTHER, f"k-{number}")
        assert len(register._suspects) == SETTINGS.suspects_limit
        assert register.blocked_until(POISON) is not None
        return [len(one.crashes) for one in register.statements()]

    assert max(curio.run(run)) <= 8


def test_all_blocked_requests_are_reported_in_rotation():
    """A host that was away for a minute admits a request that others block.

    More requests are blocked than fit into one datagram.
    """

    async def run():
        register, clock = build()
        names = [f"{number:04x}" for number in range(12)]
        for name in names:
            await crash_targets(register, name, "i-1", "i-2", "i-3")
        clock.advance(SETTINGS.told_s + 1)
        late, _ = build(clock)
        for _ in range(6):
            clock.advance(1.0)
            await send_statements(register, late)
        return [name for name in names if late.blocked_until(name) is None]

    assert curio.run(run) == []


@given(st.integers(0, 100_000))
@hypothesis_settings(max_examples=80, deadline=None)
def test_registers_agree_despite_lost_and_late_reports(seed):
    """Whatever is lost, late or repeated, the last round makes all registers equal."""
    draw = random.Random(seed)

    async def run():
        clock = ManualClock()
        registers = [build(clock)[0] for _ in range(3)]
        late = []
        for _ in range(20):
            clock.advance(draw.choice([0.0, 0.1, 2.0]))
            name = draw.choice([POISON, OTHER])
            register = draw.choice(registers)
            action = draw.random()
            if action < 0.5:
                await crash_targets(register, name, f"i-{draw.randint(1, 5)}")
            elif action < 0.55:
                await register.answered(name)
            elif action < 0.8:
                await send_statements(register, draw.choice(registers))
            else:
                late.append(register.statements())
            if late and draw.random() < 0.3:
                await draw.choice(registers).hear(draw.choice(late), "late")
        for _ in range(2):
            for sender in registers:
                await send_statements(sender, *registers)
        for name in (POISON, OTHER):
            kept = {one.blocked_until(name) is None for one in registers}
            assert len(kept) == 1

    curio.run(run)


def test_statements_survive_encoding():
    """The encoding keeps crashes, their ages and whether they still count."""
    crashes = [CrashStatement("a1", 12.3, False), CrashStatement("b2", 0.0, True)]
    rows = SuspectStatement(POISON, crashes).as_rows()
    read = SuspectStatement.from_rows(POISON, rows)
    assert read.key() == SuspectStatement(POISON, crashes).key()
    assert [end.age_s for end in read.crashes] == [12.3, 0.0]


@pytest.mark.parametrize("rows", [None, 7, [["a"]], [["a", "x", 0]], [["a", 1]], {"a"}])
def test_malformed_statement_is_a_protocol_error(rows):
    """Other writers may store anything; it must not end the reading task."""
    with pytest.raises(ProtocolError):
        SuspectStatement.from_rows(POISON, rows)
