"""Example clusters: the Collective and Ledgerhevea, at their deployed sizes."""

from jujubeyard.load import generator
from scripts import specs

Kind = specs.KindSpec
Service = specs.ServiceSpec
Stream = generator.Stream

COLLECTIVE = specs.ClusterSpec(
    "collective",
    ("aso", "kuju", "sobo"),
    6,
    (
        Service(
            "yield-desk",
            (Kind("yield-query", True, 0, 1.0, 800),),
            20,
            keyed=True,
            shards=256,
            checks_grants=True,
        ),
        Service(
            "allot-ledger",
            (
                Kind("allocation-order", False, 1, 5.0, 2000),
                Kind("archive-read", True, 8, 2.0, 4000),
            ),
            10,
        ),
        Service(
            "field-depot",
            (Kind("crew-dispatch", False, 1, 3.0, 2000),),
            6,
        ),
    ),
)

LEDGERHEVEA = specs.ClusterSpec(
    "ledgerhevea",
    ("osorno", "valdivia", "temuco", "angol"),
    8,
    (
        Service(
            "panel-ledger",
            (
                Kind("panel-lookup", True, 0, 1.0, 800),
                Kind("weight-entry", False, 1, 2.0, 1000),
            ),
            15,
            keyed=True,
            shards=240,
            slots=3,
        ),
        Service(
            "treasury",
            (
                Kind("payout-slip", False, 1, 3.0, 2000),
                Kind("season-export", True, 8, 4.0, 8000),
            ),
            8,
            slots=3,
        ),
        Service(
            "collection-book",
            (Kind("weight-entry", False, 1, 2.0, 2000),),
            8,
            slots=3,
        ),
    ),
)

MEMBERS = ("hita", "kikuchi", "takeda", "oguni")

COLLECTIVE_STREAMS = [
    Stream("yield-desk", "yield-query", True, 150, 2000, 1.0, MEMBERS),
    Stream("allot-ledger", "allocation-order", False, 30, members=MEMBERS),
    Stream("allot-ledger", "archive-read", True, 10, members=MEMBERS),
    Stream("field-depot", "crew-dispatch", False, 20, members=MEMBERS),
]
