"""Stand-ins as a process of their own, for nodes that run as separate processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import typer
import yaml

from mulleinreach.standins.people import demo_intent
from mulleinreach.standins.world import PEER_SECRET_ENV, World, WorldSpec


async def serve_standins(directory: Path, spec: WorldSpec) -> None:
    """Start the stand-ins and write settings for the nodes into ``directory``.

    Explanation
    ===========

    The files are ``NODE.yaml`` for each node, ``intent.yaml``, and at last
    ``ready``, which tells that the stand-ins answer.
    """
    world = World(spec, virtual=False)
    await world.start_standins()
    directory.mkdir(parents=True, exist_ok=True)
    for name in world.node_names():
        settings = world.settings_of(name).model_dump(mode="json")
        (directory / f"{name}.yaml").write_text(yaml.safe_dump(settings, sort_keys=False))
    intent = yaml.safe_dump(demo_intent(), sort_keys=False)
    (directory / "intent.yaml").write_text(intent)
    (directory / "ready").write_text("")
    typer.echo(f"stand-ins answer; settings are in {directory}")
    typer.echo(f"start each node with {PEER_SECRET_ENV} set to any secret they share")
    await asyncio.Event().wait()
