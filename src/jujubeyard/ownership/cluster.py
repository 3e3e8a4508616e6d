"""What a shard coordinator has to know of targets and their load."""

import typing

from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests


class ClusterState(typing.Protocol):
    """The node's knowledge of targets and their load."""

    def candidates(self, service: str) -> list[planner.Candidate]:
        """Returns the targets that may own keys."""

    def is_replaced(self, service: str, owner: table.Owner) -> bool:
        """Returns whether an owner's address has become that of another."""

    def joined_at(self, service: str) -> float:
        """Returns when the most recent target joined, in boot time."""

    def shard_rates(self, shard_table: table.ShardTable) -> list[float]:
        """Returns the calls per second of each shard."""

    def bucket_calls(self, service: str) -> list[float]:
        """Returns the number of calls of each bucket, weighted by age."""

    def observe_reply(
        self, owner: table.Owner, reply: target_requests.Reply
    ) -> None:
        """Updates the load of a target from its reply to a request."""

    def pause_seconds(self, owner: table.Owner) -> float:
        """Returns how long an owner still wants no requests, in seconds."""

    def may_balance(self, service: str) -> bool:
        """Returns whether enough calls were measured to balance loads."""
