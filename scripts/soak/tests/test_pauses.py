"""Pauses of the machine: their measurement, and the report with a violation."""

import json
import signal
import sys
import time

import curio

from scripts._processes import Processes
from scripts.soak._cpu_history import CpuHistory, read_cpu_times
from scripts.soak._pauses import Pause, Pauses, start_timer
from scripts.soak._timer import SHORTEST_PAUSE_S

STOP_S = 4 * SHORTEST_PAUSE_S
START_S = 0.5
WAIT_S = 30.0
BUSY = "while True: pass"
IDLE = "import time; time.sleep(60)"


def test_process_that_stood_still_is_seen_by_the_timer_beside_it(tmp_path):
    """Guards against a timer that misses a pause or reports its span wrongly."""
    pauses = Pauses()
    with Processes(tmp_path) as processes:
        timer = start_timer(processes, shortest_s=0.0)
        deadline_s = time.monotonic() + WAIT_S
        # With this limit it prints each delay, so the first line shows its start.
        while not timer.log_path.read_text() and time.monotonic() < deadline_s:
            time.sleep(SHORTEST_PAUSE_S)
        stopped_s = time.monotonic()
        timer.send_signal(signal.SIGSTOP)
        time.sleep(STOP_S)
        timer.send_signal(signal.SIGCONT)
        continued_s = time.monotonic()
        deadline_s = continued_s + WAIT_S
        while not _seen(pauses, timer, stopped_s) and time.monotonic() < deadline_s:
            time.sleep(SHORTEST_PAUSE_S)
    seen = _seen(pauses, timer, stopped_s)[0]
    assert seen.overlap_s(stopped_s, continued_s) > STOP_S - SHORTEST_PAUSE_S


def _seen(pauses, timer, from_s):
    pauses.read(timer.log_path)
    return [one for one in pauses.of_machine if one.ended_s > from_s + STOP_S]


def test_work_of_the_soak_itself_is_seen_by_its_own_timer_alone(tmp_path):
    """Guards against reporting a busy soak process as a pause of the machine."""
    pauses = Pauses()

    async def work():
        task = await curio.spawn(pauses.keep_watching, daemon=True)
        await curio.sleep(SHORTEST_PAUSE_S / 2)
        time.sleep(2 * SHORTEST_PAUSE_S)
        await curio.sleep(SHORTEST_PAUSE_S / 2)
        await task.cancel()

    curio.run(work)
    assert pauses.of_soak
    assert pauses.of_machine == []


def test_line_that_was_cut_off_is_left_out(tmp_path):
    """Guards against a soak that fails on a line that the killed timer left partial."""
    log = tmp_path / "timer.log"
    log.write_text(json.dumps([1.0, 2.0]) + "\n[3.0, ")
    pauses = Pauses()
    pauses.read(log)
    assert [one.length_s for one in pauses.of_machine] == [1.0]


def test_pauses_that_overlap_a_span_are_told():
    """Guards against reporting pauses outside the span of a violation."""
    pauses = Pauses()
    pauses.of_machine = [Pause(10.0, 11.0), Pause(20.0, 21.0)]
    pauses.of_soak = [Pause(10.2, 10.8)]
    assert pauses.shown(10.9, 12.0, 9.0) == ["pause of the machine at 1.00 for 1.00"]
    assert len(pauses.shown(10.0, 12.0, 9.0)) == 2


def test_wait_for_a_processor_is_told_from_work(tmp_path):
    """Guards against reporting a process without a processor as a slow process."""
    with Processes(tmp_path) as processes:
        busy = processes.start("busy", [sys.executable, "-c", BUSY])
        time.sleep(START_S)
        began_s = time.monotonic()
        before = read_cpu_times(busy.pid)
        time.sleep(START_S)
        times = read_cpu_times(busy.pid).since(before)
        spent_s = time.monotonic() - began_s
        busy.kill()
    assert 0 < times.ran_s <= spent_s
    # A process that never sleeps either runs or waits; the kernel counts in ticks.
    assert abs(times.ran_s + times.waited_s - spent_s) < spent_s / 2


def test_timer_prints_shorter_pauses_when_it_is_told_to(tmp_path):
    """Guards against missing short pauses in a run with short time bounds."""
    pauses = Pauses()
    with Processes(tmp_path) as processes:
        timer = start_timer(processes, shortest_s=0.0)
        deadline_s = time.monotonic() + WAIT_S
        while not pauses.of_machine and time.monotonic() < deadline_s:
            time.sleep(SHORTEST_PAUSE_S)
            pauses.read(timer.log_path)
    assert pauses.of_machine


def test_wait_is_told_for_the_process_and_span_that_it_lies_in(tmp_path):
    """Guards against waits that are reported for another process or start."""
    with Processes(tmp_path) as processes:
        started = {"first": processes.start("busy", [sys.executable, "-c", BUSY])}
        history = CpuHistory(lambda: started)
        history.read()
        time.sleep(START_S)
        history.read()
        until_s = time.monotonic()
        started["second"] = processes.start("idle", [sys.executable, "-c", IDLE])
        history.read()
        started["first"].kill()
        started["first"].wait()
        history.read()
    assert history.names() == ["first", "second"]
    assert history.within("first", 0.0, until_s).ran_s > 0
    assert history.within("first", until_s + WAIT_S, until_s + 2 * WAIT_S).ran_s == 0
    assert history.within("never started", 0.0, until_s).waited_s == 0
    assert 0 <= history.idle_share(0.0, until_s) <= 1
