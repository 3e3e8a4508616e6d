"""Steps in which a view of the cluster learns what the store holds."""

import asyncio
import json

from jujubeyard.node import cluster_view
from jujubeyard.platform import decoder
from jujubeyard.platform import documents
from jujubeyard.store import interface
from tests.utils import fakes

PAST_KEEP_SECONDS = 0.2
EVACUATION_KEY = documents.EVACUATION_PREFIX + "z1"
TARGET_KEY = documents.TARGET_PREFIX + "t1"
EVACUATION = interface.Item(EVACUATION_KEY, b"{}", 1, 1)
NO_EVACUATION = interface.Item(EVACUATION_KEY, None, 1, 0)
NO_TARGET = interface.Item(TARGET_KEY, None, 1, 0)


def make_target(state="ready", seq=4, born=7):
    document = {
        "address": "10.0.0.1:80",
        "info": {"service": "desk", "version": "v1", "zone": "z1", "slots": 6},
        "status": {"state": state, "seq": seq, "coldLeft": "0ms"},
        "born": born,
    }
    return interface.Item(TARGET_KEY, json.dumps(document).encode(), 1, 1)


def read(prefix, *items):
    """Returns a step in which a mirror reads all items under a prefix."""

    async def step(view):
        view.apply_snapshot(prefix, items, 0.0)

    return step


def read_zones(*items):
    return read(documents.OPERATOR_PREFIX, *items)


def read_targets(*items):
    return read(documents.TARGET_PREFIX, *items)


def change(item):
    """Returns a step in which a watch tells of a change."""

    async def step(view):
        view.apply_changes([item], 0.0)

    return step


async def go_back(view):
    view.begin_era()


async def wait(view):
    await asyncio.sleep(PAST_KEEP_SECONDS)


async def lose_store(view):
    """Lets an outage of the store end, in which listings may expire."""
    view.on_store_lost(interface.Failure(interface.FailureKind.UNKNOWN, ""))
    view._store_lost_at -= 5.0
    view.on_store_recovered()


def make_view():
    """Returns an empty view with a journal that keeps its events."""
    return cluster_view.ClusterView(
        decoder.PREFIXES,
        decoder.decode_item,
        decoder.change_for_malformed_item,
        fakes.RecordingJournal(),
    )


def find_reasons(view, event):
    """Returns the reasons that the lines of an event give."""
    return [
        fields["reason"] for name, fields in view._log.events if name == event
    ]
