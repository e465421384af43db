"""Settings of the guard against requests that crash targets."""

from siskinthread.settings import Item, Section


class PoisonSettings(Section):
    """When a request is blocked, for how long, and how much is remembered."""

    end_limit_count = Item(
        int,
        default=3,
        minimum=1,
        description="Targets that may crash during a request before the request is "
        "blocked. A harmless request is at a crashing target twice more by chance with "
        "a probability of 1 in 256 if there are 16 targets.",
    )
    keep_off_s = Item(
        float,
        default=600.0,
        minimum=0.0,
        description="How long a request is blocked after the last crash. A fix needs a "
        "release of the targets, which takes minutes; earlier, each retry would crash "
        "a target, and stop its group for about 5 s.",
    )
    pause_count = Item(
        int,
        default=2,
        minimum=1,
        description="Targets that may crash during a request before it is paused for "
        "`pause_s`. After the second crash the request probably is the cause, and each "
        "crash stops a whole group for about 5 s. This is not certain: where many "
        "targets crash at once, a harmless request may be at two of them by chance.",
    )
    pause_s = Item(
        float,
        default=60.0,
        minimum=0.0,
        description="How long a suspected request is paused; then another retry shows "
        "whether it crashes targets. A target and its group need about 5 s to recover, "
        "a twelfth of this time.",
    )
    suspected_end_count = Item(
        int,
        default=2,
        minimum=1,
        description="Targets that may crash with a prompt part that was never answered "
        "before the part is tried one request at a time. One crash shows nothing: a "
        "target that crashes for another reason has about ten requests.",
    )
    separate_s = Item(
        float,
        default=0.03,
        minimum=0.0,
        description="Crashes closer together count as one of these. Targets that are "
        "lost together crash at the same time; each additional 0.1 s would let one "
        "more target crash where crashing requests are frequent.",
    )
    answered_end_count = Item(
        int,
        default=4,
        minimum=1,
        description="Separate incidents in which targets may crash with a part that "
        "was answered before, without an answer since. Each crash with another cause "
        "also affects the other requests at its target.",
    )
    moment_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Crashes closer together count as one incident. Targets of a lost "
        "host or failure domain vanish within less.",
    )
    settled_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Duration of the events of a stream after which it is no evidence "
        "when its target crashes. A part that crashes targets does so within 0.2 s of "
        "the first event.",
    )
    trial_wait_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Time from the last crash to the first trial of a suspected part. "
        "By then, requests under way have had their effect and were reported.",
    )
    trial_step_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Time after which the number of hosts that may run a trial "
        "doubles. A trial that crashes its target does so, and is reported, within "
        "half of this time.",
    )
    joint_trial_wait_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="Additional delay of the trial of a request with several suspected "
        "parts. Requests with one of them are more conclusive and are tried first if "
        "there are any.",
    )
    usual_share = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Share of a service's requests from which on a part that was "
        "answered before is not blocked. Otherwise the route would stop on evidence "
        "that all of its requests have in common.",
    )
    usual_window_count = Item(
        int,
        default=128,
        minimum=1,
        description="Number of recent requests of a service in which that share is "
        "counted.",
    )
    candidate_limit = Item(
        int,
        default=64,
        minimum=1,
        description="Maximum number of parts of one request that are recorded when its "
        "target crashes. Parts that were never answered take precedence.",
    )
    answered_parts_limit = Item(
        int,
        default=4096,
        minimum=0,
        description="Maximum number of answered prompt parts that are remembered, the "
        "latest ones. Each takes about 150 bytes, and services have some hundreds of "
        "shared parts.",
    )
    memory_s = Item(
        float,
        default=3600.0,
        minimum=0.0,
        description="How long a request is remembered after the last crash. Between "
        "`keep_off_s` and this time one more crash blocks it again at once.",
    )
    suspects_limit = Item(
        int,
        default=512,
        minimum=1,
        description="Maximum number of requests that are remembered; each takes less "
        "than 2 KB. Beyond it, requests with the fewest crashes are forgotten first.",
    )
    write_step_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Time that each host leaves to the previous one, in an order that "
        "is the same on all hosts, to write what the store lacks. Longer than the "
        "differences in when hosts learn of a restore, read again, and see a write: "
        "about 10 ms each, and up to 1 s on overloaded hosts.",
    )
    write_steps_limit = Item(
        int,
        default=8,
        minimum=0,
        description="Number of hosts that take turns one after the other. More than "
        "are likely to be gone at once; with all hosts of a large fleet it would take "
        "minutes.",
    )
    write_spread_s = Item(
        float,
        default=4.0,
        minimum=0.0,
        description="Time over which all other hosts, and hosts that receive from no "
        "other, choose their turns at random, late ones more often. Long compared to "
        "the 20 ms after which others have read a write.",
    )
    told_limit = Item(
        int,
        default=16,
        minimum=2,
        description="Maximum number of requests in one datagram, in less than 2 KB of "
        "its 8 KB. If there are more, each is reported within seconds, in rotation.",
    )
    told_s = Item(
        float,
        default=20.0,
        minimum=0.0,
        description="How long a request that is not blocked is reported to peers "
        "repeatedly, to bridge a cut of some seconds.",
    )
    answered_limit = Item(
        int,
        default=1024,
        minimum=0,
        description="Maximum number of answered requests that are remembered, so that "
        "a request that many callers send is not suspected. A host serves less than "
        "100 a second.",
    )
    answered_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="How long an answer proves that a request does not crash targets. "
        "Later, the targets may have been replaced by others, which it does crash.",
    )
    stored_from_count = Item(
        int,
        default=2,
        minimum=1,
        description="Crashes from which on a request is written to the store. One less "
        "than `end_limit_count`: hosts that are cut off from each other, but not from "
        "the store, reach the limit together.",
    )
    store_wait_s = Item(
        float,
        default=25.0,
        minimum=0.0,
        description="How long a read of the store may wait for a change. Each read "
        "costs one call; the store allows 30 s.",
    )
    store_check_s = Item(
        float,
        default=1.5,
        minimum=0.01,
        description="Interval at which one entry checks whether the store has more "
        "than its waiting read returned.",
    )
    store_age_limit_s = Item(
        float,
        default=2.5,
        minimum=0.01,
        description="Age of what an entry knows of the store at which it asks the "
        "store. Requests must be limited 3 s after a crash.",
    )
    store_retry_s = Item(
        float,
        default=4.0,
        minimum=0.01,
        description="Wait after a failed call to the store. Peers report meanwhile.",
    )
    store_pause_s = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Time between two writes to the store, and between two reads of it "
        "while it changes. Each call has a cost, and 0.3 s after a crash is soon "
        "enough.",
    )
