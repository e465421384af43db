"""Settings of the guard against requests under which targets end."""

from siskinthread.settings import Item, Section


class PoisonSettings(Section):
    """When a request is kept off targets, for how long, and how much is remembered."""

    end_limit_count = Item(
        int,
        default=3,
        minimum=1,
        description="Targets that may end under a request before it is kept off all. "
        "One that did nothing is at a target that ends again, and once more, with a "
        "chance of 1 in 256 where there are 16 (reckoned).",
    )
    keep_off_s = Item(
        float,
        default=600.0,
        minimum=0.0,
        description="How long after the last end a request is kept off targets. Their "
        "fault is mended by a release, which takes minutes; sooner, each try would end "
        "a target, and stop its group for some 5 s.",
    )
    pause_count = Item(
        int,
        default=2,
        minimum=1,
        description="Targets that may end under a request before it pauses for "
        "`pause_s`. By the second one it is probable that the request ends them, and "
        "each end stops a whole group for some 5 s. It is not sure: where many "
        "targets end at once, a request that ends none may meet two ends by chance.",
    )
    pause_s = Item(
        float,
        default=60.0,
        minimum=0.0,
        description="How long a request pauses that may have ended targets; then one "
        "more try shows whether it was the request. A target and its group need some 5 "
        "s to be back, a twelfth of this.",
    )
    suspected_end_count = Item(
        int,
        default=2,
        minimum=1,
        description="Targets that may end under a part of prompts that was never "
        "answered before it is tried one request at a time. One end shows nothing: a "
        "target that ends for another reason has some ten requests.",
    )
    separate_s = Item(
        float,
        default=0.03,
        minimum=0.0,
        description="Ends closer together count as one of these. Targets that are "
        "lost together end at one moment; each tenth of a second more would let one "
        "more target end where crashing requests come often.",
    )
    answered_end_count = Item(
        int,
        default=4,
        minimum=1,
        description="Separate moments at which targets may end under a part that was "
        "answered before, with no answer since. Each end that has another cause takes "
        "the requests beside it along.",
    )
    moment_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Ends closer together count as one moment. Targets of a host or "
        "failure domain that is lost end within less.",
    )
    settled_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="For how long events of a stream must have come for it to be no "
        "evidence when its target ends. A part that ends targets does so within 0.2 s "
        "of the first event.",
    )
    trial_wait_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Time from the last end to the first try of what is suspected. "
        "Requests under way have had their effect and been told of by then.",
    )
    trial_step_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="How long each number of hosts may try before it doubles. A try "
        "that ends its target does so, and is told of, within half of it.",
    )
    joint_trial_wait_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="How much later a request with several suspected parts is tried. "
        "Requests with one of them tell more, and come meanwhile if there are any.",
    )
    usual_share = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Share of a service's requests from which on a part that was "
        "answered before is not kept off. More, and the route would stop on evidence "
        "that all of its requests have in common.",
    )
    usual_window_count = Item(
        int,
        default=128,
        minimum=1,
        description="Last requests of a service in which that share is counted.",
    )
    candidate_limit = Item(
        int,
        default=64,
        minimum=1,
        description="Parts of one request that are noted when its target ends, those "
        "that were never answered first.",
    )
    answered_parts_limit = Item(
        int,
        default=4096,
        minimum=0,
        description="Answered parts of prompts that are remembered, the latest. Each "
        "takes some 150 bytes, and services have some hundreds of shared parts.",
    )
    memory_s = Item(
        float,
        default=3600.0,
        minimum=0.0,
        description="How long after the last end a request is remembered. Between "
        "`keep_off_s` and this one more end has it kept off again at once.",
    )
    suspects_limit = Item(
        int,
        default=512,
        minimum=1,
        description="Requests that are remembered; each takes less than 2 KB. Above, "
        "those with the fewest ends are forgotten first.",
    )
    write_step_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Time that each entry leaves to the one before it, in an order "
        "that all find alike, to write what the store lacks. Longer than entries "
        "learn of a restore after one another, read anew, and read of a write: some 10 "
        "ms each, and up to 1 s on overloaded hosts.",
    )
    write_steps_limit = Item(
        int,
        default=8,
        minimum=0,
        description="Entries that take their turns one after the other. More than are "
        "probably gone at once; with all of a large fleet it would take minutes.",
    )
    write_spread_s = Item(
        float,
        default=4.0,
        minimum=0.0,
        description="Time over which all other entries, and those that hear of no "
        "other, choose their turns at random, late ones more often. Long beside the 20 "
        "ms after which a write is read of.",
    )
    told_limit = Item(
        int,
        default=16,
        minimum=2,
        description="Requests that one datagram of news tells of, in less than 2 KB of "
        "its 8 KB. With more of them, each is told of within seconds, in turn.",
    )
    told_s = Item(
        float,
        default=20.0,
        minimum=0.0,
        description="How long peers are told again of a request that is not kept off, "
        "so that a cut of some seconds is bridged.",
    )
    answered_limit = Item(
        int,
        default=1024,
        minimum=0,
        description="Answered requests that are remembered, against taking a request "
        "that many send for one that ends targets. An entry serves less than 100 a "
        "second.",
    )
    answered_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="How long an answer shows that a request does not end targets. "
        "Later, they may have been replaced by others, which it does end.",
    )
    stored_from_count = Item(
        int,
        default=2,
        minimum=1,
        description="Ends from which on a request is noted in the store. One less than "
        "`end_limit_count`: entries that are cut off from one another, but not from "
        "the store, come to the limit together.",
    )
    store_wait_s = Item(
        float,
        default=25.0,
        minimum=0.0,
        description="How long a read of the store may wait for a change. Each read "
        "costs a call; the store allows 30 s.",
    )
    store_retry_s = Item(
        float,
        default=4.0,
        minimum=0.01,
        description="Wait after a failed call to the store. Peers tell meanwhile.",
    )
    store_pause_s = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Time between two writes to the store, and between two reads of it "
        "while it changes. Each call costs, and 0.3 s after an end is soon enough.",
    )
