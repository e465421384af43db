"""Tests which slots are left to requests that have missed their objective."""

import pytest

from siskinthread.load_control._arrival_rates import ArrivalRates
from siskinthread.load_control._service_durations import ServiceDurations
from siskinthread.load_control._settings import LoadControlSettings
from siskinthread.load_control._slot_forecast import SlotForecast
from siskinthread.timing import ManualClock

SETTINGS = LoadControlSettings(late_room_deviations=0.0)
SLOT_COUNT = 48
MEAN_S = 1.5


class Request:
    """The attributes of a request that the forecast uses."""

    def __init__(self, is_late, priority=1):
        self.service_name = "app"
        self.is_late = is_late
        self.priority = priority


class FakePeerLoads:
    """Load reports of a given number of hosts."""

    def __init__(self, host_count):
        self.host_count = host_count

    def fleet_factor(self, service_name):
        """Return the ratio of the requests of all hosts to those of this host."""
        return self.host_count

    def interval_s(self):
        """Return the time between two reports, seconds."""
        return 0.1


class ForecastFixture:
    """A forecast, its clock, and evenly spaced requests."""

    def __init__(self, host_count=1):
        self.clock = ManualClock()
        durations = ServiceDurations(SETTINGS)
        durations.note("app", MEAN_S)
        self.arrivals = ArrivalRates(SETTINGS, SETTINGS.rate_memory_s, self.clock)
        self.forecast = SlotForecast(
            SETTINGS, self.clock, self.arrivals, FakePeerLoads(host_count), durations
        )

    def ask(self, per_s, priority=1, for_s=6.0):
        """Note evenly spaced requests that can still meet their objective."""
        for _ in range(round(for_s * per_s)):
            self.clock.advance(1 / per_s)
            self.arrivals.note("app", priority)
            self.forecast.note_in_time(Request(False, priority))

    def start_late(self, free_count=float(SLOT_COUNT)):
        """Start late requests until no more may start; return their number."""
        count = 0
        late = Request(True)
        while self.forecast.has_free_slot(late, SLOT_COUNT, free_count - count):
            self.forecast.started(late, self.clock.monotonic_s())
            count += 1
        return count


def test_late_requests_leave_slots_after_an_outage():
    """Guards against late requests that fill all slots after an outage.

    The 25 requests per second in time need 37 slots while late requests hold theirs;
    new requests would find no slot for 1.5 s.
    """
    fixture = ForecastFixture()
    fixture.ask(25.0)
    assert 7 <= fixture.start_late() <= 12


def test_late_requests_get_slots_that_no_others_need():
    """Guards against refusing late requests while slots are free for them."""
    assert ForecastFixture().start_late() >= SLOT_COUNT - 1
    fixture = ForecastFixture()
    fixture.ask(25.0, priority=2)
    # Late requests have precedence over less urgent ones.
    assert fixture.start_late() >= SLOT_COUNT - 1


def test_late_requests_do_not_take_the_last_slots():
    """Guards against late requests in the last slots during overload."""
    fixture = ForecastFixture()
    fixture.ask(40.0)
    assert fixture.start_late() == 0
    assert fixture.start_late(free_count=2.0) == 0


def test_forecast_counts_slots_of_requests_that_end():
    """Guards against a forecast without the requests that end within its horizon."""
    fixture = ForecastFixture()
    fixture.ask(20.0)
    early = Request(False)
    # At 20 per second, requests in time use 30 of 48 slots, and end evenly.
    started_s = fixture.clock.monotonic_s()
    for number in range(30):
        fixture.forecast.started(early, started_s - MEAN_S * number / 30)
    assert 10 <= fixture.start_late(free_count=18.0) <= 17


def test_hosts_do_not_start_late_requests_in_the_same_slots():
    """Guards against four hosts that each fill the free slots that all of them see."""
    fixture = ForecastFixture(host_count=4)
    assert fixture.start_late() == pytest.approx(SLOT_COUNT / 4, abs=1)


def test_forecast_forgets_requests_that_have_ended():
    """Guards against counts that grow without bound."""
    fixture = ForecastFixture()
    late = Request(True)
    fixture.forecast.started(late, 1.0)
    fixture.forecast.started(late, 1.0)
    fixture.forecast.ended(late, 1.0)
    fixture.forecast.ended(late, 1.0)
    fixture.clock.advance(1.0)
    assert fixture.start_late() >= SLOT_COUNT - 1
