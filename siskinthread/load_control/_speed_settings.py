"""Settings of the placement by measured speed."""

from siskinthread.settings import Item, Section


class SpeedSettings(Section):
    """Settings of the speed measurement of targets and of its use in placement."""

    is_enabled = Item(
        bool,
        default=True,
        description="Whether requests go to the targets that are expected to answer "
        "first, where speeds measurably differ.",
    )
    memory_s = Item(
        float,
        default=0.5,
        minimum=0.05,
        description="Averaging time of the request durations at a target. A target "
        "with four requests per second then has a sample weight of two.",
    )
    failure_memory_s = Item(
        float,
        default=3.0,
        minimum=0.1,
        description="Averaging time of failed requests. A target that fails a tenth of "
        "three requests per second is then detected by one failure.",
    )
    weight_limit = Item(
        float,
        default=16.0,
        minimum=2.0,
        description="Maximum weight of the measurements of one target by a host. A "
        "change is detected within as many new requests.",
    )
    expire_s = Item(
        float,
        default=5.0,
        minimum=0.5,
        description="How long an estimate is valid without a new request. Targets are "
        "typically slow for some seconds, up to 9 s.",
    )
    trial_wait_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Time without a new request after which a slow target gets a trial "
        "request; twice the duration of a request that is twelve times slower than 22 "
        "ms.",
    )
    trials_per_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Rate of trial requests from all hosts to a slow target. At 500 "
        "requests per second, trials make two of 1,000 late.",
    )
    least_ratio = Item(
        float,
        default=1.5,
        minimum=1.05,
        description="Duration relative to that of the median target above which a "
        "target counts as slower, or below the inverse of which as faster. Slow "
        "targets are 3 to 12 times slower; smaller differences leave a request of 22 "
        "ms within 0.15 s.",
    )
    least_ratio_full = Item(
        float,
        default=2.5,
        minimum=1.05,
        description="The same while the target or all targets are nearly full. A "
        "request that queues for one request duration takes twice as long.",
    )
    least_deviations = Item(
        float,
        default=3.5,
        minimum=1.0,
        description="Standard errors by which the duration must differ as well. Among "
        "192 targets of equal speed, one seems to differ one time in twenty.",
    )
    overdue_ratio = Item(
        float,
        default=2.0,
        minimum=1.1,
        description="Duration relative to the typical one at the target above which a "
        "running request counts as overdue if other requests there are overdue too; a "
        "single one counts above the square of the ratio.",
    )
    near_full_load = Item(
        float,
        default=0.7,
        minimum=0.0,
        description="Requests per slot above which durations are averaged separately, "
        "as some targets slow down when nearly full: the last two of six slots.",
    )
    failure_cost = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="Cost, in request durations, of a failed request that may not be "
        "retried and is lost. With 8, fewer requests are lost at a target that fails a "
        "tenth, but the other targets fill up sooner. A request that may be retried "
        "costs one duration.",
    )
    alike_ratio = Item(
        float,
        default=1.2,
        minimum=1.0,
        description="Expected duration relative to the shortest one up to which "
        "targets count as equal; load and chance decide among these.",
    )
    pass_ratio = Item(
        float,
        default=1.25,
        minimum=1.0,
        description="Pass time of a group relative to the fastest group above which "
        "requests go to other groups. Passes of 60 ms are reported in steps of 10 ms.",
    )
    told_limit = Item(
        int,
        default=16,
        minimum=0,
        description="Maximum number of targets whose speed a datagram reports, some 1 "
        "KB of its 8 KB.",
    )
