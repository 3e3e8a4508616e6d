"""What a controller does with each message."""

import functools

from jujubeyard import clock
from jujubeyard.controller import tables
from jujubeyard.link import link
from jujubeyard.link import messages

MILLISECONDS = 1000.0


@functools.singledispatch
def receive(message: object, controller, peer: link.Link) -> None:
    """Handles a message; those of other types are passed over.

    Args:
        message: The message.
        controller: A controller.Controller.
        peer: Where the message came from.
    """
    del message, controller, peer


@receive.register
def _(beat: messages.Heartbeat, controller, peer: link.Link) -> None:
    row = tables.PeerRow(beat, clock.boottime())
    controller.tables.peers[beat.witness] = row
    controller.spreader.send_overdue(
        peer, beat.plan_version, beat.config_version
    )


@receive.register
def _(renew: messages.Renew, controller, peer: link.Link) -> None:
    controller.hear_gate(renew)
    granted = controller.witness.promise(
        renew.holder, renew.plan_version, clock.boottime()
    )
    peer.send(
        messages.Promise(
            renew.renewal_id,
            controller.name,
            granted,
            controller.known.plan.version,
            controller.known.config_version,
        )
    )
    controller.spreader.send_overdue(
        peer, renew.plan_version, renew.config_version
    )


@receive.register
def _(lapse: messages.Lapse, controller, peer: link.Link) -> None:
    now = clock.boottime()
    remaining = controller.witness.stop_renewals(
        lapse.holder, lapse.below_version, now
    )
    peer.send(
        messages.LapseReply(
            lapse.query,
            controller.name,
            remaining * MILLISECONDS,
            controller.witness.uptime(now) * MILLISECONDS,
        )
    )


@receive.register
def _(request: messages.Subscribe, controller, peer: link.Link) -> None:
    controller.spreader.subscribe(peer, request)


@receive.register
def _(push: messages.PlanPush, controller, peer: link.Link) -> None:
    del peer
    controller.spreader.install_plan(push.body, False)


@receive.register
def _(push: messages.ConfigPush, controller, peer: link.Link) -> None:
    del peer
    controller.install_config(push.body, False)
