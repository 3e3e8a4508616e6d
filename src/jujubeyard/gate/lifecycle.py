"""State machine of a target at its gate.

acquiring: former holders may still send calls to the target.
held: this gate is the only sender.
lost: this gate is the only sender, but the target does not respond.
releasing: the plan no longer assigns the target to this gate, which waits for
its calls there to end.
"""

import transitions

ACQUIRING = "acquiring"
HELD = "held"
LOST = "lost"
RELEASING = "releasing"

_TRANSITIONS = [
    {"trigger": "acquire", "source": ACQUIRING, "dest": HELD},
    {"trigger": "lose", "source": HELD, "dest": LOST},
    {"trigger": "recover", "source": LOST, "dest": HELD},
    {"trigger": "release", "source": "*", "dest": RELEASING},
    {"trigger": "reacquire", "source": "*", "dest": ACQUIRING},
]

_MACHINE = transitions.Machine(
    model=None,
    states=[ACQUIRING, HELD, LOST, RELEASING],
    transitions=_TRANSITIONS,
    initial=ACQUIRING,
    auto_transitions=False,
)


class TargetLifecycle:
    """The state of one target.

    The shared state machine adds a method for each trigger and a check such
    as is_held() for each state.

    Attributes:
        state: Name of the current state.
    """

    state: str

    def __init__(self):
        _MACHINE.add_model(self)

    @property
    def is_sole_sender(self) -> bool:
        """Whether this gate is the only sender to the target."""
        return self.state in (HELD, LOST)

    def detach(self) -> None:
        """Removes this target from the shared state machine."""
        _MACHINE.remove_model(self)
