"""What was done to a soak's deployment, with the times that checks need."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Revocation:
    """A time during which a key was not in the newest configuration."""

    key: str
    since: float
    until: float = float("inf")


@dataclass
class Evacuation:
    """A time during which operators wanted a hall empty; the store had taken it at ``since``."""

    hall: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True)
class Leaving:
    """An upstream that says in its row that it leaves; the store had taken that at ``since``."""

    upstream_id: str
    since: float


@dataclass
class Disturbance:
    """A time during which a gateway, or every one, was frozen or could not reach the store."""

    gateway: str | None
    since: float
    until: float = float("inf")
