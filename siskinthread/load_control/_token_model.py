"""Token capacity of the targets of a service, as published by operators."""


class TokenModel:
    """Memory of a target, and the typical size of a request.

    Parameters
    ----------
    capacity : int
        Maximum number of prompt and output tokens that a target holds at once.
    per_event : int
        Tokens in each event of a stream.
    usual_prompt, usual_output : int
        Tokens of a typical prompt and a typical output.
    """

    __slots__ = ("capacity", "per_event", "usual_output", "usual_prompt")

    def __init__(self, capacity, per_event, usual_prompt, usual_output):
        self.capacity = capacity
        self.per_event = per_event
        self.usual_prompt = usual_prompt
        self.usual_output = usual_output

    @property
    def usual_size(self):
        """Tokens of a typical request, prompt and output together."""
        return self.usual_prompt + self.usual_output
