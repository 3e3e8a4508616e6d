"""The states of a target at its gate.

acquiring: former holders may still send. held: this gate is the only sender.
lost: held, but the target doesn't answer. releasing: another gate is to hold
it and this one finishes its calls.
"""

import transitions

ACQUIRING = "acquiring"
HELD = "held"
LOST = "lost"
RELEASING = "releasing"

_TRANSITIONS = [
    {"trigger": "acquire", "source": ACQUIRING, "dest": HELD},
    {"trigger": "lose", "source": HELD, "dest": LOST},
    {"trigger": "find", "source": LOST, "dest": HELD},
    {"trigger": "release", "source": "*", "dest": RELEASING},
    {"trigger": "renew", "source": "*", "dest": ACQUIRING},
]

_MACHINE = transitions.Machine(
    model=None,
    states=[ACQUIRING, HELD, LOST, RELEASING],
    transitions=_TRANSITIONS,
    initial=ACQUIRING,
    auto_transitions=False,
)


class Life:
    """The state of one target; triggers come from the machine above."""

    state: str

    def __init__(self):
        _MACHINE.add_model(self)

    @property
    def is_settled(self) -> bool:
        """Whether the gate is the target's only sender."""
        return self.state in (HELD, LOST)

    def close(self) -> None:
        """Detaches the model from the shared machine."""
        _MACHINE.remove_model(self)
