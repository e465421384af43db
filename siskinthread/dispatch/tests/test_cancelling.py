"""Tests of callers that leave before their answer is complete."""

import curio

from siskinthread.dispatch.tests.fakes import (
    ANSWER,
    Bench,
    COMPLETE,
    HEAD,
    refused,
    unknown,
)
from siskinthread.outcomes import Part, Reason


def test_cancelled_answer_cancels_its_attempt_once():
    """Cancelling cancels the exchange once and resets the in-flight counts."""
    bench = Bench([HEAD, Part(0, b"half"), COMPLETE])

    async def main():
        answer = await bench.dispatcher.begin(bench.request())
        await answer.next_event()
        await answer.cancel()
        await answer.cancel()

    curio.run(main)
    assert bench.links.cancelled == 1
    assert bench.router.in_flight == 0
    assert b"siskinthread_dispatch_in_flight 0.0" in bench.metrics.render()


def test_cancelling_during_the_back_off_starts_no_further_attempt():
    """No attempt starts if the caller leaves during the back-off."""
    bench = Bench([refused()], ANSWER)
    bench.settings.values["first_back_off_s"] = 30.0
    bench.settings.values["longest_back_off_s"] = 30.0

    async def main():
        answer = await bench.dispatcher.begin(bench.request(wait_s=100.0))
        reading = await curio.spawn(answer.next_event)
        while bench.budget.left == 100:
            await curio.sleep(0)
        await reading.cancel()
        await answer.cancel()

    curio.run(main)
    assert len(bench.links.starts) == 1
    assert bench.router.in_flight == 0


def test_cancelling_while_the_answer_is_read_ends_it_once():
    """A waiting reader gets the end, and the end is counted once."""
    bench = Bench([])
    woken = curio.Event()

    async def wait_for_end():
        await woken.wait()
        return unknown(Reason.CANCELLED)

    async def main():
        answer = await bench.dispatcher.begin(bench.request())
        reading = await curio.spawn(answer.next_event)
        while not bench.links.exchanges:
            await curio.sleep(0)
        (exchange,) = bench.links.exchanges
        exchange.cancel = woken.set
        await answer.cancel()
        return await reading.join()

    bench.links.wait = wait_for_end
    assert curio.run(main).reason is Reason.CANCELLED
    assert bench.router.in_flight == 0
    assert b"siskinthread_dispatch_in_flight 0.0" in bench.metrics.render()


def test_caller_that_leaves_while_the_attempt_is_started_cancels_it():
    """An exchange is cancelled even if the caller leaves while it is started.

    Guards against targets that run requests of callers that have left: if the task is
    cancelled while the link accepts the request, it has no exchange to cancel.
    """
    bench = Bench(ANSWER)
    entered = curio.Event()
    leaving = curio.Event()
    start = bench.links.start

    async def start_slowly(*arguments):
        exchange = await start(*arguments)
        await entered.set()
        await leaving.wait()
        return exchange

    async def main():
        answer = await bench.dispatcher.begin(bench.request())
        reading = await curio.spawn(answer.next_event)
        await entered.wait()
        await reading.cancel(blocking=False)
        await leaving.set()
        await reading.wait()
        await answer.cancel()

    bench.links.start = start_slowly
    curio.run(main)
    assert bench.links.cancelled == 1
    assert bench.router.in_flight == 0
