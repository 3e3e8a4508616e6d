"""Handlers of the messages that a controller receives."""

import functools

from jujubeyard import clock
from jujubeyard.controller import tables
from jujubeyard.link import link
from jujubeyard.link import messages

MILLISECONDS_PER_SECOND = 1000.0


@functools.singledispatch
def handle_message(message: object, controller, peer: link.Link) -> None:
    """Handles a message; types without a handler are ignored.

    Args:
        message: The message.
        controller: The controller.Controller that received the message.
        peer: Link on which the message arrived.
    """
    del message, controller, peer


@handle_message.register
def _(heartbeat: messages.Heartbeat, controller, peer: link.Link) -> None:
    row = tables.PeerRow(heartbeat, clock.boottime())
    controller.tables.peers[heartbeat.witness] = row
    controller.distributor.resend_if_overdue(
        peer, heartbeat.plan_version, heartbeat.config_version
    )


@handle_message.register
def _(renew: messages.Renew, controller, peer: link.Link) -> None:
    controller.handle_renewal(renew)
    granted = controller.witness.promise(
        renew.holder, renew.plan_version, clock.boottime()
    )
    peer.send(
        messages.Promise(
            renew.renewal_id,
            controller.name,
            granted,
            controller.installed.plan.version,
            controller.installed.config_version,
        )
    )
    controller.distributor.resend_if_overdue(
        peer, renew.plan_version, renew.config_version
    )


@handle_message.register
def _(lapse: messages.Lapse, controller, peer: link.Link) -> None:
    now = clock.boottime()
    remaining = controller.witness.stop_renewals(
        lapse.holder, lapse.below_version, now
    )
    peer.send(
        messages.LapseReply(
            lapse.query,
            controller.name,
            remaining * MILLISECONDS_PER_SECOND,
            controller.witness.uptime(now) * MILLISECONDS_PER_SECOND,
        )
    )


@handle_message.register
def _(request: messages.Subscribe, controller, peer: link.Link) -> None:
    controller.distributor.subscribe(peer, request)


@handle_message.register
def _(push: messages.PlanPush, controller, peer: link.Link) -> None:
    del peer
    controller.distributor.install_plan(push.body, False)


@handle_message.register
def _(push: messages.ConfigPush, controller, peer: link.Link) -> None:
    del peer
    controller.install_config(push.body, False)
