"""Simulation of callers and hosts whose targets are down, full or slow for a time.

Hosts use the real target selection and the real waiting room.  Targets are slots with a
fixed service time and a queue.  There is no network, and the clock advances in steps.
"""

import collections
import heapq
import itertools
import random

from siskinthread.gateway import GatewaySettings
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._request import GatewayRequest, RequestFacts
from siskinthread.gateway._table import RequestKind
from siskinthread.gateway.tests.parts import entry
from siskinthread.gateway.tests.test_table import build_route
from siskinthread.observability import Metrics
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.timing import Deadline, ManualClock

STEP_S = 0.02
# Callers abandon a stream that has no event within this time.
SILENCE_S = 2.0
FIRST_EVENT_S = 0.1
# Requests that a target holds beyond its slots before it declines.
QUEUE_LIMIT = 4
UPDATE_INTERVAL_S = 0.1
OBJECTIVE_S = 0.4
# Callers retry only if the announced delay is within this share of their remaining
# time.
RETRY_LIMIT_SHARE = 1 / 3


class Call:
    """A caller's request, with its first try and its retry."""

    def __init__(self, at_s, deadline_s, priority=0, respects_delay=True):
        self.at_s = at_s
        self.deadline_s = deadline_s
        self.deadline_at_s = at_s + deadline_s
        self.priority = priority
        self.respects_delay = respects_delay
        self.try_count = 0
        self.retry_after_s = None
        self.result = None
        self.started_at_s = None
        # Whether a place was booked for its return.
        self.is_promised = False
        # The host that refused its first try.
        self.refused_by = None
        self.is_return = False


class ReplayedPeers:
    """Loads of the other hosts, as reported by their updates.

    Parameters
    ----------
    hosts : list of GatewayParts
        All hosts.
    own : GatewayParts
        The host that receives the updates.
    delay_s : float
        Network latency of an update, seconds.
    """

    def __init__(self, hosts, own, delay_s):
        self._others = [one for one in hosts if one is not own]
        self._delay_s = delay_s
        self._sent = []
        self._known = {}

    def exchange(self, now_s):
        """Send an update if one is due, and apply those that have arrived."""
        if (
            not self._sent
            or now_s >= self._sent[-1][0] + UPDATE_INTERVAL_S - STEP_S / 2
        ):
            counts = collections.Counter()
            for one in self._others:
                counts.update(one.loads.own_counts())
            self._sent.append((now_s, counts))
        while self._sent[0][0] + self._delay_s <= now_s and len(self._sent) > 1:
            self._known = self._sent.pop(0)[1]

    def has_fresh_loads(self):
        """Return whether loads are up to date."""
        return True

    def counts(self, instance_id):
        """Return the requests of other hosts at a target."""
        return self._known.get(instance_id, 0)

    def full_rate_peer_count(self):
        """Return the number of hosts that report their loads."""
        return len(self._others)

    def fleet_count(self):
        """Return the number of hosts."""
        return 1 + len(self._others)

    def send_interval_s(self):
        """Return the time between two updates of a host."""
        return UPDATE_INTERVAL_S

    def is_crowded(self):
        """Return whether only hosts of the own failure domain report often."""
        return False

    def excess_tokens(self):
        """Return no excess tokens."""
        return {}


class Replay:
    """Hosts, their targets and their callers.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the hosts.
    target_count : int
        Number of targets of the service.
    slot_count : int
        Number of slots of each target.
    busy_s : float
        Service time of a request, seconds.
    down : tuple of float
        Start and end of an outage of the group of all targets, seconds.
    host_count : int
        Number of hosts; each try of a caller goes to a random one.
    delay_s : float
        Network latency of updates between hosts, seconds.
    seed : int
        Seed for the selection of hosts.
    """

    def __init__(
        self,
        settings,
        target_count,
        slot_count,
        busy_s,
        down=(0.0, 0.0),
        host_count=1,
        delay_s=0.1,
        seed=7,
    ):
        self.clock = ManualClock(0.0)
        self.hosts = []
        for number in range(host_count):
            rng = random.Random(3 + number)
            host = GatewayParts(settings, "a", None, self.clock, Metrics(), rng)
            for target in range(target_count):
                host.targets.put(entry(f"i-{target}", slots=slot_count))
            if down[1] > down[0]:
                host.choice.group_of = lambda instance_id: "g"
            self.hosts.append(host)
        self.parts = self.hosts[0]
        if host_count > 1:
            for host in self.hosts:
                host.loads.peers = ReplayedPeers(self.hosts, host, delay_s)
        self._reachable_hosts = list(self.hosts)
        # Times at which the slots of each target become free.
        self._slots = {
            f"i-{target}": [0.0] * slot_count for target in range(target_count)
        }
        self._random = random.Random(seed)
        self._down = down
        self._busy_s = busy_s
        self._events = []
        self._sequence = itertools.count()
        self._pending = {}
        self._routes = {}

    def run(self, calls, end_s):
        """Run all calls; sets the result of each."""
        for call in calls:
            self._at(call.at_s, self._arrive, call)
        while self.clock.monotonic_s() < end_s:
            self.clock.advance(STEP_S)
            now_s = self.clock.monotonic_s()
            for host in self.hosts[1:] and self.hosts:
                host.loads.peers.exchange(now_s)
            while self._events and self._events[0][0] <= now_s:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            for host in self.hosts:
                self._release(host)

    def kill_at(self, at_s):
        """Send no callers to the first host from a given time on.

        Its requests in flight are completed, so that only its booked returns are lost.
        """
        self._at(at_s, self._reachable_hosts.remove, self.hosts[0])

    def is_down(self):
        """Return whether the group is down now."""
        return self._down[0] <= self.clock.monotonic_s() < self._down[1]

    def _at(self, at_s, action, *arguments):
        heapq.heappush(self._events, (at_s, next(self._sequence), action, arguments))

    def _arrive(self, call):
        call.try_count += 1
        host = self._random.choice(self._reachable_hosts)
        left_s = call.deadline_at_s - self.clock.monotonic_s()
        request = GatewayRequest(
            None,
            b"",
            RequestFacts("id", None, left_s),
            self._route(call),
            "app",
            None,
            1,
            Deadline.after(self.clock, left_s),
        )
        host.returns.note_arrival(request)
        host.load_control.note_asked(request)
        call.is_return = request.is_return
        self._try(host, call, request, set(), self.clock.monotonic_s())

    def _route(self, call):
        """Return the route for the priority and deadline of a call."""
        key = (call.priority, call.deadline_s)
        if key not in self._routes:
            route = build_route("a.example", f"/{key}/")
            route.kind = RequestKind.STREAM_RESUMABLE
            route.priority, route.wait_limit_s = key
            route.objective_s = OBJECTIVE_S
            self._routes[key] = route
        return self._routes[key]

    def _try(self, host, call, request, tried_ids, arrived_at_s):
        room = host.waiting_room
        chosen = room.choose(request, tried_ids, arrived_at_s)
        if not isinstance(chosen, End):
            self._start(host, call, request, tried_ids, arrived_at_s, chosen)
            return
        pending = room.join(request, tried_ids, arrived_at_s, chosen)
        if pending is None:
            self._refuse(host, call, request, chosen)
        else:
            self._pending[pending] = (host, call, request, tried_ids, arrived_at_s)

    def _release(self, host):
        room = host.waiting_room
        for pending in room.releases("app"):
            self._settle(pending)
        for pending in list(self._pending):
            if self._pending[pending][0] is host and pending.waiter.until.passed():
                room.give_up(pending)
                self._settle(pending)

    def _settle(self, pending):
        host, call, request, tried_ids, arrived_at_s = self._pending.pop(pending)
        if isinstance(pending.outcome, End):
            self._refuse(host, call, request, pending.outcome)
        else:
            self._start(host, call, request, tried_ids, arrived_at_s, pending.outcome)

    def _start(self, host, call, request, tried_ids, arrived_at_s, target):
        room = host.waiting_room
        outages = host.outages
        outages.note_sent("g")
        now_s = self.clock.monotonic_s()
        slots = self._slots[target.instance_id]
        queued_count = sum(one > now_s + self._busy_s for one in slots)
        if self.is_down() or queued_count >= QUEUE_LIMIT:
            outages.note_ended("g")
            if self.is_down():
                outages.note_declined("g")
            room.note_attempt_over(request)
            tried_ids.add(target.instance_id)
            if len(tried_ids) < request.route.attempt_limit:
                self._try(host, call, request, tried_ids, arrived_at_s)
            else:
                self._refuse(
                    host, call, request, self._last_refusal(host, request, tried_ids)
                )
            return
        begin_s = max(now_s, slots[0])
        end_s = begin_s + self._busy_s
        heapq.heapreplace(slots, end_s)
        call.started_at_s = begin_s
        host.loads.started(target.instance_id)
        running = host.load_control.started(request, target)
        self._at(begin_s + FIRST_EVENT_S, room.note_served, "app")
        self._at(begin_s + FIRST_EVENT_S, outages.note_served, "g", now_s)
        self._at(end_s, self._end, host, call, request, target, arrived_at_s, running)

    def _last_refusal(self, host, request, tried_ids):
        """Return the refusal of a request that has no attempt left."""
        end = host.choice.choose(request, tried_ids)
        if isinstance(end, End):
            return end
        message = "All attempts were declined."
        end = End(Outcome.REFUSED_NOT_RUN, Reason.OVERLOADED, message)
        end.retry_after_s = host.choice.retry_delay_s(request)
        return end

    def _end(self, host, call, request, target, arrived_at_s, running):
        now_s = self.clock.monotonic_s()
        host.loads.ended(target.instance_id)
        running.ended(True)
        host.outages.note_ended("g")
        host.waiting_room.note_attempt_over(request)
        host.waiting_room.request_times.note(request.route.name, self._busy_s)
        silent_s = call.started_at_s + FIRST_EVENT_S - arrived_at_s
        is_served = now_s <= call.deadline_at_s and silent_s <= SILENCE_S
        call.result = "served" if is_served else "left"

    def _refuse(self, host, call, request, end):
        now_s = self.clock.monotonic_s()
        call.result = "refused"
        if call.try_count > 1:
            return
        call.retry_after_s = end.retry_after_s
        call.refused_by = host
        call.is_promised = getattr(request, "is_return_promised", False)
        left_s = call.deadline_at_s - now_s
        if not call.respects_delay:
            self._at(now_s, self._arrive, call)
        elif call.retry_after_s <= left_s * RETRY_LIMIT_SHARE:
            self._at(now_s + call.retry_after_s, self._arrive, call)


def settings(**values):
    """Return settings of a host with the given sections."""
    return GatewaySettings(**values)


def share(calls, result="served"):
    """Return the share of calls with a given result."""
    return sum(call.result == result for call in calls) / len(calls)
