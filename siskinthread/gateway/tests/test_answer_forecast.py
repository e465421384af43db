"""Expected times of requests, by which a stop refuses those that would outlast it."""

import pytest

from siskinthread.gateway import RequestKind, Route
from siskinthread.gateway._answer_forecast import AnswerForecast, ROUTES_LIMIT
from siskinthread.gateway.tests import parts

KINDS = list(RequestKind)


def a_route(kind, name="r", objective_s=0.4):
    """Return a route."""
    return Route(name, "h", "/", kind, [], 1, 20.0, 1, False, objective_s, None)


@pytest.mark.parametrize("kind", KINDS)
def test_unknown_route_is_expected_to_meet_its_objective(kind):
    """Guards against a stop that refuses requests of a route without any before."""
    forecast = AnswerForecast(parts.clock())
    assert forecast.expected_s(a_route(kind)) == 0.4
    assert forecast.expected_s(a_route(kind, objective_s=None)) == 0.0


@pytest.mark.parametrize(
    ("kind", "expected_s"),
    [
        (RequestKind.ONCE, 8.0),
        (RequestKind.IDEMPOTENT, 4.0),
        (RequestKind.STREAM_ONCE, 2.0),
        (RequestKind.STREAM_RESUMABLE, 2.0),
    ],
)
def test_running_requests_count_until_one_is_answered(kind, expected_s):
    """Guards against requests that are passed on behind others that get no answer."""
    clock = parts.clock()
    forecast = AnswerForecast(clock)
    route = a_route(kind)
    forecast.started(route, "first")
    clock.advance(1.5)
    forecast.started(route, "second")
    clock.advance(0.5)
    assert forecast.expected_s(route) == pytest.approx(expected_s)
    forecast.ended(route, "first")
    assert forecast.expected_s(route) < expected_s
    forecast.answered(route, 0.1)
    assert forecast.expected_s(route) <= 0.4
    forecast.ended(route, "second")


@pytest.mark.parametrize("kind", KINDS)
def test_even_times_are_expected_closely_and_uneven_ones_with_room(kind):
    """Guards against a stop that refuses what it has the time for."""
    forecast = AnswerForecast(parts.clock())
    even, uneven = a_route(kind, "even"), a_route(kind, "uneven")
    for number in range(40):
        forecast.answered(even, 2.0)
        forecast.answered(uneven, 1.0 + 2.0 * (number % 2))
    assert forecast.expected_s(even) == pytest.approx(2.0, abs=0.01)
    if kind is RequestKind.ONCE:
        assert forecast.expected_s(uneven) > 2 * 3.0


def test_memory_is_limited():
    """Guards against routes that come and go for months."""
    forecast = AnswerForecast(parts.clock())
    for number in range(ROUTES_LIMIT + 5):
        route = a_route(RequestKind.ONCE, f"r-{number}")
        forecast.started(route, "one")
        forecast.ended(route, "one")
        forecast.answered(route, 1.0)
    assert len(forecast._times) == ROUTES_LIMIT
    assert not forecast._started_at_s
