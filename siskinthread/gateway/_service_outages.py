"""Outages of services, and requests that test whether an outage is over."""

from siskinthread.gateway._inferred_outages import InferredOutages
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class _Test:
    """A request that is sent in an outage to test whether the outage is over."""

    __slots__ = ("limit", "next_test", "request")

    def __init__(self, request, limit, next_test):
        self.request = request
        self.limit = limit
        self.next_test = next_test


class ServiceOutages:
    """Outages of services, from the state of groups or inferred from failed requests.

    Parameters
    ----------
    parts : GatewayParts
        Settings, the choice of targets, the target list and the clock.

    Attributes
    ----------
    reported : object or None
        Source of the outages of services with groups: ``service_outage(service_name)``
        returns an object with ``began_at_s``, or None.  If None, all outages are
        inferred from failed requests.
    """

    __slots__ = (
        "_inferred",
        "_choice",
        "_clock",
        "_reported_began_at_s",
        "_settings",
        "_targets",
        "_tests",
        "reported",
    )

    def __init__(self, parts):
        self._settings = parts.settings.waiting
        self._clock = parts.clock
        self._choice = parts.choice
        self._targets = parts.targets
        self._inferred = InferredOutages(self._settings, parts.clock)
        # Start of outages according to reports of groups, by service.
        self._reported_began_at_s = {}
        # The last test, by service.
        self._tests = {}
        self.reported = None
        parts.choice.may_try_unhealthy = self._may_try_unhealthy

    def outage(self, service_name):
        """Return the outage of a service, an object with ``began_at_s``, or None."""
        if self.reported is None or not self._has_groups(service_name):
            return self._inferred.service_outage(service_name)
        outage = self.reported.service_outage(service_name)
        if outage is not None:
            self._reported_began_at_s[service_name] = outage.began_at_s
            return outage
        began_at_s = self._reported_began_at_s.pop(service_name, None)
        if began_at_s is not None:
            length_s = self._clock.monotonic_s() - began_at_s
            self._inferred.lengths.note_ended(service_name, length_s)
        return None

    def expected_left_s(self, service_name):
        """Return the expected remaining time of an outage, seconds; 0 if none."""
        outage = self.outage(service_name)
        if outage is None:
            return 0.0
        return self._inferred.lengths.expected_left_s(service_name, outage.began_at_s)

    def note_served(self, service_name):
        """Note an answer or an event from a target of a service."""
        self._inferred.note_served(service_name)

    def may_test(self, service_name):
        """Return whether a request may now test whether an outage is over."""
        test = self._tests.get(service_name)
        if test is None:
            return not self._is_reported_lately(service_name)
        is_under_way = test.request is not None and not test.limit.passed()
        return not is_under_way and test.next_test.passed()

    def begin_test(self, request):
        """Note that a request is sent to a service in an outage, as a test."""
        settings = self._settings
        interval_s = settings.test_interval_s
        if request.service_name in self._reported_began_at_s:
            interval_s = settings.reported_test_interval_s
        self._tests[request.service_name] = _Test(
            request,
            Deadline.after(self._clock, settings.test_limit_s),
            Deadline.after(self._clock, interval_s),
        )
        _logger.event(
            "outage is tested", id=request.request_id, service=request.service_name
        )

    def end_test(self, request):
        """Note that a test request has ended, or was not sent."""
        test = self._tests.get(request.service_name)
        if test is not None and test.request is request:
            test.request = None

    def forget_tests(self):
        """Allow an immediate test of each service."""
        self._tests.clear()

    def _may_try_unhealthy(self, service_name):
        """Return whether a request may go to a target although all are ejected."""
        has_groups = self._has_groups(service_name)
        if self.reported is None or not has_groups:
            self._inferred.note_all_ejected(service_name)
        if not self._settings.is_enabled:
            return True
        # All ranks of a group decline until the group has re-formed; the duration of
        # the ejection of a group accounts for that.
        return not has_groups and self.may_test(service_name)

    def _is_reported_lately(self, service_name):
        """Return whether an outage reported by groups has only just begun."""
        began_at_s = self._reported_began_at_s.get(service_name)
        if began_at_s is None:
            return False
        passed_s = self._clock.monotonic_s() - began_at_s
        return passed_s < self._settings.reported_test_interval_s

    def _has_groups(self, service_name):
        serving = self._targets.serving(service_name)
        return any(self._choice.group_of(one.instance_id) for one in serving)
