"""Metrics of the control of expert maps."""


class MapMeasures:
    """Metrics of all groups that this process controls.

    Parameters
    ----------
    metrics : siskinthread.observability.Metrics
        The registry.
    """

    __slots__ = ("_changes", "_pass_time")

    def __init__(self, metrics):
        self._changes = metrics.counter(
            "group_map_changes", "Changes of expert maps by result.", ("result",)
        )
        self._pass_time = metrics.gauge(
            "group_relative_pass_time",
            "Predicted time of a pass relative to evenly loaded ranks, by group.",
            ("group",),
        )

    def change_ended(self, result):
        """Count a change by its `ChangeResult`."""
        self._changes.labels(result.value).inc()

    def relative_pass_time(self, group_name, value):
        """Note how uneven the ranks of a group are loaded."""
        self._pass_time.labels(group_name).set(value)
