"""The clock of tests excludes pauses of the process, and nothing else."""

import signal
import subprocess
import sys
import time

import curio
import pytest

from scripts import _running_clock
from scripts._processes import ROOT

STOPPED_S = 0.5
WAIT_S = 0.05
# Prints the difference between real time and clock time over a loop of a statement.
STOPPED_PROGRAM = f"""
import time
import curio
from scripts import _running_clock

async def main():
    began_s, real_s = time.monotonic(), time.clock_gettime(time.CLOCK_MONOTONIC)
    print("ready", flush=True)
    while time.clock_gettime(time.CLOCK_MONOTONIC) < real_s + {3 * STOPPED_S}:
        {{statement}}
    real_s = time.clock_gettime(time.CLOCK_MONOTONIC) - real_s
    print(real_s - (time.monotonic() - began_s))

_running_clock.run(main)
"""


def took_s(work):
    """Return the duration of an async function by the clock, seconds."""

    async def main():
        began_s = time.monotonic()
        await work()
        return time.monotonic() - began_s

    return _running_clock.run(main)


@pytest.mark.parametrize("statement", ["await curio.sleep(0.001)", "sum(range(1000))"])
def test_time_in_which_the_process_was_stopped_is_left_out(statement):
    """Guards against late requests in tests only because the machine was busy."""
    program = STOPPED_PROGRAM.format(statement=statement)
    command = [sys.executable, "-c", program]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as process:
        assert process.stdout.readline() == b"ready\n"
        process.send_signal(signal.SIGSTOP)
        time.sleep(STOPPED_S)
        process.send_signal(signal.SIGCONT)
        left_out_s = float(process.stdout.readline())
    assert left_out_s >= 0.9 * STOPPED_S


def test_own_work_counts():
    """Guards against slow decisions that seem to take no time."""

    async def work():
        until_s = time.process_time() + WAIT_S
        while time.process_time() < until_s:
            pass

    assert took_s(work) >= 0.9 * WAIT_S


def test_waits_count():
    """Guards against timers, events and blocking calls that seem to take no time."""

    async def wait_for_thread():
        await curio.run_in_thread(_running_clock._sleep, WAIT_S)

    async def block():
        time.sleep(WAIT_S)

    async def wait_for_timer():
        await curio.sleep(WAIT_S)

    for work in (wait_for_thread, block, wait_for_timer):
        assert took_s(work) >= 0.99 * WAIT_S


def test_clock_of_the_system_is_back_after_a_run():
    """Guards against a test that leaves its clock to the next test."""

    async def fail():
        raise ValueError

    with pytest.raises(ValueError):
        _running_clock.run(fail)
    assert time.monotonic is _running_clock._monotonic
    assert time.sleep is _running_clock._sleep


def test_other_threads_read_the_same_clock():
    """Guards against a thread that reads its own processor time as that of the run."""

    async def read_twice():
        before_s = time.monotonic()
        elsewhere_s = await curio.run_in_thread(lambda: time.monotonic())
        return before_s, elsewhere_s, time.monotonic()

    times_s = _running_clock.run(read_twice)
    assert times_s == tuple(sorted(times_s))
