"""Records kept in the etcd store."""

import dataclasses
import json

MAX_RECENT_WRITES = 64


@dataclasses.dataclass(slots=True)
class ConfigRecord:
    """The configuration of a cluster; fields are stored by their names.

    Attributes:
        version: Version number, incremented by each accepted change.
        manifest: The validated manifest as a plain document.
        drained_zones: Names of drained availability zones.
        drained_targets: Names of drained targets.
        shard_counts: Number of shards of each service, including removed
            services. It is fixed, because it maps keys to shards.
        recent_writes: IDs of the latest writes, oldest first. A writer that
            got no response looks for its write here.
    """

    version: int
    manifest: dict
    drained_zones: list[str]
    drained_targets: list[str]
    shard_counts: dict[str, int]
    recent_writes: list[str]

    def with_write(self, write_id: str) -> "ConfigRecord":
        """Returns a copy with the next version and a write's ID added."""
        recent = [*self.recent_writes, write_id][-MAX_RECENT_WRITES:]
        return dataclasses.replace(
            self, version=self.version + 1, recent_writes=recent
        )

    def encode(self) -> bytes:
        """Encodes the record as JSON."""
        return json.dumps(dataclasses.asdict(self)).encode()


def decode_config(body: bytes) -> ConfigRecord:
    """Decodes a stored configuration record."""
    return ConfigRecord(**json.loads(body))


def config_key(cluster: str) -> str:
    """Returns the store key of a cluster's configuration."""
    return f"jujubeyard/{cluster}/config"


def plan_key(cluster: str) -> str:
    """Returns the store key of a cluster's plan."""
    return f"jujubeyard/{cluster}/plan"
