"""Seeded queue model of targets, entry hosts and delayed load reports.

The model covers what the choice of a target depends on: steps with a batch, a priority
queue, delays between failure domains, and delayed reports.
"""

import heapq
import itertools

from siskinthread.timing import ManualClock


class EventQueue:
    """Event queue of function calls in model time.

    Attributes
    ----------
    clock : ManualClock
        Clock of the model.
    """

    __slots__ = ("_calls", "_sequence", "clock")

    def __init__(self):
        self.clock = ManualClock(monotonic_s=0.0)
        self._calls = []
        self._sequence = itertools.count()

    def now_s(self):
        """Return the model time, seconds."""
        return self.clock.monotonic_s()

    def call_after(self, wait_s, function, *arguments):
        """Call a function `wait_s` seconds of model time from now."""
        at_s = self.now_s() + wait_s
        heapq.heappush(self._calls, (at_s, next(self._sequence), function, arguments))

    def run_until(self, end_s):
        """Run all calls that are due up to `end_s`, in order of time."""
        while self._calls and self._calls[0][0] <= end_s:
            at_s, _, function, arguments = heapq.heappop(self._calls)
            self.clock.advance(max(0.0, at_s - self.now_s()))
            function(*arguments)


class ModelRequest:
    """A request in the model.

    Parameters
    ----------
    request : siskinthread.dispatch.CallerRequest
        Request that is passed to the policies.
    token_count : int
        Number of tokens of the answer.
    issued_at_s : float
        Model time at which the entry host received the request, seconds.
    """

    __slots__ = ("first_token_s", "issued_at_s", "request", "token_count")

    def __init__(self, request, token_count, issued_at_s):
        self.request = request
        self.token_count = token_count
        self.issued_at_s = issued_at_s
        self.first_token_s = None


class ModelTarget:
    """Engine with continuous batching.

    Parameters
    ----------
    events : EventQueue
        Event queue of the model.
    host, failure_domain : str
        Name and failure domain of the host.
    scenario : siskinthread.measurement._routing_scenario.Scenario
        Sizes and times of the model.
    """

    __slots__ = (
        "_events",
        "_milestones",
        "_queue",
        "_scenario",
        "_sequence",
        "_step_count",
        "_stepping",
        "failure_domain",
        "host",
        "request_count",
        "running_count",
    )

    def __init__(self, events, host, failure_domain, scenario):
        self._events = events
        self._scenario = scenario
        self._queue = []
        self._milestones = []
        self._sequence = itertools.count()
        self._step_count = 0
        self._stepping = False
        self.host = host
        self.failure_domain = failure_domain
        self.running_count = 0
        self.request_count = 0

    @property
    def waiting_count(self):
        """Number of requests in the queue."""
        return len(self._queue)

    def submit(self, model_request, on_first_token, on_end):
        """Queue a request; call the callbacks with it at its first and last token."""
        self.request_count += 1
        priority = model_request.request.priority
        order = (priority, next(self._sequence))
        heapq.heappush(self._queue, (order, model_request, on_first_token, on_end))
        if not self._stepping:
            self._begin_step()

    def _begin_step(self):
        self._fill_batch()
        self._stepping = self.running_count > 0
        if not self._stepping:
            return
        scenario = self._scenario
        fill = self.running_count / scenario.capacity_count
        step_s = scenario.step_s * (1.0 + scenario.full_batch_slowdown * fill)
        step_s *= scenario.slowness(self.host, self._events.now_s())
        self._events.call_after(step_s, self._end_step)

    def _fill_batch(self):
        while self._queue and self.running_count < self._scenario.capacity_count:
            _, model_request, on_first_token, on_end = heapq.heappop(self._queue)
            self.running_count += 1
            first_step = self._step_count + self._scenario.prefill_step_count
            last_step = first_step + model_request.token_count - 1
            self._add_milestone(first_step, False, on_first_token, model_request)
            self._add_milestone(last_step, True, on_end, model_request)

    def _add_milestone(self, step, is_last, callback, model_request):
        milestone = (step, next(self._sequence), is_last, callback, model_request)
        heapq.heappush(self._milestones, milestone)

    def _end_step(self):
        self._step_count += 1
        while self._milestones and self._milestones[0][0] <= self._step_count:
            _, _, is_last, callback, model_request = heapq.heappop(self._milestones)
            self.running_count -= is_last
            callback(model_request)
        self._begin_step()
