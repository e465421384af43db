"""Which requests are kept off targets, and that all entries come to the same."""

import random

import curio
import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from siskinthread.errors import ProtocolError
from siskinthread.poison_requests import (
    EndStatement,
    PoisonRegister,
    PoisonSettings,
    SuspectStatement,
)
from siskinthread.timing import ManualClock

# Without a pause, so that the limit of ends shows by itself.
SETTINGS = PoisonSettings(suspects_limit=20, told_limit=6, pause_s=0.0)
PAUSING = PoisonSettings()
POISON = "5f0c"
OTHER = "77aa"


def build(clock=None, settings=SETTINGS):
    """Return a register and its clock."""
    clock = ManualClock() if clock is None else clock
    return PoisonRegister(settings, clock), clock


async def end_targets(register, fingerprint, *targets):
    """Note that targets have ended under a request."""
    for target in targets:
        await register.target_ended(fingerprint, target)


async def tell(teller, *hearers):
    """Let a register tell others what it knows."""
    for hearer in hearers:
        await hearer.hear(teller.statements(), "peer")


def test_third_target_has_the_request_kept_off():
    """Two targets may end under a request by chance; the third one is the last."""

    async def run():
        register, clock = build()
        await end_targets(register, POISON, "i-1", "i-2")
        assert register.kept_off_until(POISON) is None
        clock.advance(5.0)
        await end_targets(register, POISON, "i-3")
        return register.kept_off_until(POISON).left_s()

    assert curio.run(run) == pytest.approx(SETTINGS.keep_off_s)


def test_request_pauses_after_two_ends_and_is_then_tried_once_more():
    """Symptom: a request stops its group three times in a row.

    Events: two targets end under it.  It pauses, so that the third try comes to a
    service that has recovered; the third end has it kept off for long.
    """

    async def run():
        register, clock = build(settings=PAUSING)
        await end_targets(register, POISON, "i-1")
        assert register.kept_off_until(POISON) is None
        await end_targets(register, POISON, "i-2")
        paused_s = register.kept_off_until(POISON).left_s()
        clock.advance(PAUSING.pause_s)
        assert register.kept_off_until(POISON) is None
        await end_targets(register, POISON, "i-3")
        return paused_s, register.kept_off_until(POISON).left_s()

    paused_s, kept_off_s = curio.run(run)
    assert paused_s == pytest.approx(PAUSING.pause_s)
    assert kept_off_s == pytest.approx(PAUSING.keep_off_s)


def test_request_that_met_two_ends_by_chance_is_served_after_its_pause():
    """Symptom: a request that ends nothing is refused for ten minutes.

    Events: many targets end at once, twice; the request was at one of them each time.
    After its pause it is answered, and pauses no more.
    """

    async def run():
        register, clock = build(settings=PAUSING)
        await end_targets(register, POISON, "i-1", "i-2")
        clock.advance(PAUSING.pause_s)
        await register.answered(POISON)
        clock.advance(PAUSING.answered_s + 1)
        await end_targets(register, POISON, "i-3")
        return register.kept_off_until(POISON)

    assert curio.run(run) is None


def test_ends_that_several_entries_saw_are_summed_up_once_each():
    """Symptom: a request is kept off too late, or after one end that three saw.

    Events: three entries lose a request at targets, two of them at the same one; each
    tells the others, some of it twice.
    """

    async def run():
        clock = ManualClock()
        one, two, three = (build(clock)[0] for _ in range(3))
        await end_targets(one, POISON, "i-1")
        await end_targets(two, POISON, "i-1")
        await end_targets(three, POISON, "i-2")
        for _ in range(2):
            for teller in (one, two, three):
                await tell(teller, one, two, three)
        assert [r.kept_off_until(POISON) for r in (one, two, three)] == [None] * 3
        await end_targets(two, POISON, "i-3")
        await tell(two, one, three)
        return [r.kept_off_until(POISON) is not None for r in (one, two, three)]

    assert curio.run(run) == [True] * 3


def test_answer_clears_a_request_everywhere_for_good():
    """Symptom: a request that did nothing is refused by some entries.

    Events: three targets end under it for another reason; a fourth one answers it, and
    an entry that has not heard of that still tells of the ends.
    """

    async def run():
        clock = ManualClock()
        one, two = build(clock)[0], build(clock)[0]
        await end_targets(one, POISON, "i-1", "i-2", "i-3")
        await tell(one, two)
        await two.answered(POISON)
        assert two.kept_off_until(POISON) is None
        await tell(one, two)
        assert two.kept_off_until(POISON) is None
        await tell(two, one)
        return one.kept_off_until(POISON)

    assert curio.run(run) is None


def test_request_that_many_send_is_not_taken_for_one_that_ends_targets():
    """Symptom: an account's status question is refused for ten minutes.

    Events: all targets of a small service end at one moment, each of them with the same
    question under way, which was answered a moment before.
    """

    async def run():
        register, clock = build()
        await register.answered(POISON)
        clock.advance(SETTINGS.answered_s / 2)
        await end_targets(register, POISON, "i-1", "i-2", "i-3")
        peer, _ = build(clock)
        await end_targets(peer, POISON, "i-1", "i-2", "i-3")
        await tell(peer, register)
        return register.kept_off_until(POISON)

    assert curio.run(run) is None


def test_request_that_begins_to_end_targets_is_found_out():
    """Symptom: a request that was answered an hour ago may end all targets.

    Events: the targets are replaced by others, which it ends.
    """

    async def run():
        register, clock = build()
        await register.answered(POISON)
        clock.advance(SETTINGS.answered_s + 0.1)
        await end_targets(register, POISON, "i-1", "i-2", "i-3")
        return register.kept_off_until(POISON) is not None

    assert curio.run(run)


def test_request_is_tried_again_later_and_one_more_end_is_enough_then():
    """What targets have been mended for is served again; if not, one end tells."""

    async def run():
        register, clock = build()
        await end_targets(register, POISON, "i-1", "i-2", "i-3")
        clock.advance(SETTINGS.keep_off_s)
        assert register.kept_off_until(POISON) is None
        await end_targets(register, POISON, "i-4")
        kept_off_s = register.kept_off_until(POISON).left_s()
        clock.advance(SETTINGS.memory_s + 1)
        register.statements()
        await end_targets(register, POISON, "i-5")
        return kept_off_s, register.kept_off_until(POISON)

    assert curio.run(run) == (pytest.approx(SETTINGS.keep_off_s), None)


def test_memory_and_news_are_bounded_and_keep_the_worst():
    """Symptom: a host runs out of memory, or its news don't fit into a datagram.

    Events: servers end all the time, each with other requests under way.
    """

    async def run():
        register, clock = build()
        await end_targets(register, POISON, "i-1", "i-2", "i-3")
        for number in range(1000):
            clock.advance(0.01)
            await end_targets(register, f"{number:04x}", f"j-{number}")
            assert len(register.statements()) <= SETTINGS.told_limit
        for number in range(100):
            await end_targets(register, OTHER, f"k-{number}")
        assert len(register._suspects) == SETTINGS.suspects_limit
        assert register.kept_off_until(POISON) is not None
        return [len(one.ends) for one in register.statements()]

    assert max(curio.run(run)) <= 8


def test_all_that_are_kept_off_are_told_of_in_turn():
    """Symptom: a host that was away for a minute lets a known request pass.

    Events: more requests are kept off than one datagram tells of.
    """

    async def run():
        register, clock = build()
        names = [f"{number:04x}" for number in range(12)]
        for name in names:
            await end_targets(register, name, "i-1", "i-2", "i-3")
        clock.advance(SETTINGS.told_s + 1)
        late, _ = build(clock)
        for _ in range(6):
            clock.advance(1.0)
            await tell(register, late)
        return [name for name in names if late.kept_off_until(name) is None]

    assert curio.run(run) == []


@given(st.integers(0, 100_000))
@hypothesis_settings(max_examples=80, deadline=None)
def test_registers_agree_however_they_hear(seed):
    """Whatever is lost, late or told twice, the last round makes all alike."""
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
                await end_targets(register, name, f"i-{draw.randint(1, 5)}")
            elif action < 0.55:
                await register.answered(name)
            elif action < 0.8:
                await tell(register, draw.choice(registers))
            else:
                late.append(register.statements())
            if late and draw.random() < 0.3:
                await draw.choice(registers).hear(draw.choice(late), "late")
        for _ in range(2):
            for teller in registers:
                await tell(teller, *registers)
        for name in (POISON, OTHER):
            kept = {one.kept_off_until(name) is None for one in registers}
            assert len(kept) == 1

    curio.run(run)


def test_statements_survive_the_way_to_peers():
    """Ends, their age and whether they still count come as they were told."""
    ends = [EndStatement("a1", 12.3, False), EndStatement("b2", 0.0, True)]
    rows = SuspectStatement(POISON, ends).as_rows()
    read = SuspectStatement.from_rows(POISON, rows)
    assert read.key() == SuspectStatement(POISON, ends).key()
    assert [end.age_s for end in read.ends] == [12.3, 0.0]


@pytest.mark.parametrize("rows", [None, 7, [["a"]], [["a", "x", 0]], [["a", 1]], {"a"}])
def test_unreadable_statement_is_an_error_of_the_protocol(rows):
    """Other writers may put anything there; it must not end the task that reads."""
    with pytest.raises(ProtocolError):
        SuspectStatement.from_rows(POISON, rows)
