"""Records in the platform's store."""

import dataclasses
import json

MAX_RECENT_WRITES = 64


@dataclasses.dataclass(slots=True)
class ConfigRecord:
    """The configuration that operators have had accepted.

    Attributes:
        version: Grows by one with each accepted change.
        manifest: The manifest as a plain, checked document.
        drained_zones: Availability zones taken out.
        drained_targets: Targets taken out.
        shard_counts: Number of shards of every service that there ever was;
            it can't change, since it decides which keys a shard has.
        recent_writes: Ids of the latest writes, oldest first; a writer whose
            answer was lost finds out here whether it won.
    """

    version: int
    manifest: dict
    drained_zones: list[str]
    drained_targets: list[str]
    shard_counts: dict[str, int]
    recent_writes: list[str]

    def with_write(self, write_id: str) -> "ConfigRecord":
        """Returns the successor that a write with this id creates."""
        recent = [*self.recent_writes, write_id][-MAX_RECENT_WRITES:]
        return dataclasses.replace(
            self, version=self.version + 1, recent_writes=recent
        )

    def encode(self) -> bytes:
        """Returns the record as it is stored."""
        return json.dumps(dataclasses.asdict(self)).encode()


def decode_config(body: bytes) -> ConfigRecord:
    """Reads a stored configuration record."""
    return ConfigRecord(**json.loads(body))


def config_key(cluster: str) -> str:
    """Returns the store key of a cluster's configuration."""
    return f"jujubeyard/{cluster}/config"


def plan_key(cluster: str) -> str:
    """Returns the store key of a cluster's plan."""
    return f"jujubeyard/{cluster}/plan"
