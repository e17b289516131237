"""The ``mulleinreach`` command."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from mulleinreach.cli.client import Connection, Exit, Output
from mulleinreach.cli.show import (
    describe_audit,
    describe_config,
    describe_confirmation,
    describe_plan,
    format_table,
    print_answer,
)
from mulleinreach.common import MulleinreachError
from mulleinreach.common.loop import SuspendAwareEventLoop
from mulleinreach.gateway.explain import explain_request
from mulleinreach.intents import Intent
from mulleinreach.node import Node
from mulleinreach.settings import NodeSettings, load_file, parse_yaml

app = typer.Typer(help="Serves models whose replicas span several hosts.", no_args_is_help=True)
settings_app = typer.Typer(help="Settings files.", no_args_is_help=True)
app.add_typer(settings_app, name="settings")

ServerOption = Annotated[
    str, typer.Option("--server", envvar="MULLEINREACH_SERVER", help="A node, as host:port.")
]
TokenOption = Annotated[
    Path | None,
    typer.Option("--token-file", help="File with the token; default: MULLEINREACH_TOKEN."),
]
OutputOption = Annotated[Output, typer.Option("--output", help="Output format.")]

DEFAULT_SERVER = "127.0.0.1:8081"
STOP_GRACE_S = 60.0


@app.command()
def node(
    settings: Annotated[Path, typer.Option(help="The node's settings file.")],
    verbosity: Annotated[int, typer.Option(help="0 for events, -1 for warnings only.")] = 0,
) -> None:
    """Run a node until SIGTERM or SIGINT, then shut down gracefully."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO if verbosity >= 0 else logging.WARNING)
    checked = _load_or_exit(settings, NodeSettings)
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(_run_node(checked))


async def _run_node(settings: NodeSettings) -> None:
    running = Node(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    # A running node doesn't reload its settings; changes apply at the next start.
    loop.add_signal_handler(signal.SIGHUP, lambda: logging.info("event=settings_changed"))
    await running.start()
    await stopped.wait()
    await running.stop(STOP_GRACE_S)


def _load_or_exit(path: Path, model):
    try:
        return load_file(path, model)
    except MulleinreachError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(Exit.BAD_INPUT) from error


@settings_app.command("check")
def check(file: Annotated[Path, typer.Argument(help="A node's settings, or an intent.")]) -> None:
    """Validate a settings file or an intent; errors name the key, the value and the reason."""
    try:
        document = parse_yaml(file.read_text(), str(file))
    except (OSError, UnicodeDecodeError, MulleinreachError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(Exit.BAD_INPUT) from error
    kind = document.get("kind") if isinstance(document, dict) else None
    models = {"node": NodeSettings, "intent": Intent}
    if kind not in models:
        typer.echo(f"{file}: kind: wrong value {kind!r}, must be 'node' or 'intent'", err=True)
        raise typer.Exit(Exit.BAD_INPUT)
    _load_or_exit(file, models[kind])
    typer.echo(f"{file}: correct settings of kind {kind}")


@app.command()
def plan(
    file: Annotated[Path, typer.Option("-f", "--file", help="The intent, in YAML.")],
    server: ServerOption = DEFAULT_SERVER,
    token_file: TokenOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Create a plan from an intent; nothing changes until the plan is confirmed."""
    intent = _load_or_exit(file, Intent)
    connection = Connection(server, token_file, output)
    answer = connection.call("POST", "/plans", {"intent": intent.model_dump(mode="json")})
    print_answer(answer, output, describe_plan(answer))


@app.command()
def drain(
    hosts: Annotated[list[str], typer.Argument(help="Hosts to drain.")],
    undo: Annotated[bool, typer.Option("--undo", help="Return the hosts to service.")] = False,
    server: ServerOption = DEFAULT_SERVER,
    token_file: TokenOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Create a plan to drain hosts or to return them to service; confirm it to apply it."""
    connection = Connection(server, token_file, output)
    answer = connection.call("POST", "/plans", {"undrain" if undo else "drain": hosts})
    print_answer(answer, output, describe_plan(answer))


@app.command()
def confirm(
    plan_id: Annotated[str, typer.Argument(help="The plan's id.")],
    server: ServerOption = DEFAULT_SERVER,
    token_file: TokenOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Apply a plan and wait until it is in force on every host."""
    connection = Connection(server, token_file, output)
    answer = connection.call("POST", f"/plans/{plan_id}/confirm")
    print_answer(answer, output, describe_confirmation(answer))
    if not answer["accepted"]:
        raise typer.Exit(Exit.NOT_YET_ACCEPTED)


@app.command()
def get(
    what: Annotated[str, typer.Argument(help="config, services, replicas, hosts or nodes.")],
    server: ServerOption = DEFAULT_SERVER,
    token_file: TokenOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show the configuration, or list services, replicas, hosts or nodes."""
    answer = Connection(server, token_file, output).call("GET", f"/get/{what}")
    text = describe_config(answer) if isinstance(answer, dict) else format_table(answer)
    print_answer(answer, output, text)


@app.command()
def explain(
    kind: Annotated[str, typer.Argument(help="request, replica, host or plan.")],
    name: Annotated[str, typer.Argument(help="Its name or id.")],
    server: ServerOption = DEFAULT_SERVER,
    token_file: TokenOption = None,
    output: OutputOption = Output.TEXT,
    log: Annotated[
        Path | None,
        typer.Option(help="For a request: read a file of node logs instead of asking a node."),
    ] = None,
) -> None:
    """Explain the state of a resource, and the alternatives considered."""
    if log is not None:
        _explain_from_log(kind, name, log)
        return
    answer = Connection(server, token_file, output).call("GET", f"/explain/{kind}/{name}")
    print_answer(answer, output, answer["lines"])


def _explain_from_log(kind: str, name: str, log: Path) -> None:
    if kind != "request":
        typer.echo("only requests can be explained from logs", err=True)
        raise typer.Exit(Exit.BAD_INPUT)
    try:
        with log.open(encoding="utf-8", errors="replace") as lines:
            explanation = explain_request(lines, name)
    except OSError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(Exit.BAD_INPUT) from error
    for line in explanation or [f"no line names request {name!r}"]:
        typer.echo(line)


@app.command()
def audit(
    everything: Annotated[
        bool, typer.Option("--all", help="Include entries in the object store.")
    ] = False,
    server: ServerOption = DEFAULT_SERVER,
    token_file: TokenOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """List the audit entries: who changed what, and why."""
    path = "/audit?all=true" if everything else "/audit"
    answer = Connection(server, token_file, output).call("GET", path)
    print_answer(answer, output, describe_audit(answer["entries"]))


@app.command()
def watch(
    server: ServerOption = DEFAULT_SERVER,
    token_file: TokenOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Print state changes of replicas and of the configuration until interrupted."""
    connection = Connection(server, token_file, output)

    async def follow() -> None:
        async for event in connection.lines("/watch"):
            print_answer(event, output, [f"{event['subject']}: {event['state']}"])

    asyncio.run(follow())


@app.command()
def demo(
    stay: Annotated[
        bool, typer.Option("--stay", help="Keep the deployment running and print its addresses.")
    ] = False,
) -> None:
    """Run a small demo deployment in this process."""
    from mulleinreach.standins.demo import run_demo

    raise typer.Exit(asyncio.run(run_demo(stay)))


@app.command()
def standins(
    directory: Annotated[Path, typer.Option(help="Directory for the nodes' settings files.")],
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = 3,
) -> None:
    """Run stand-ins of the platform and of engines, for nodes started separately."""
    from mulleinreach.standins.serve import serve_standins
    from mulleinreach.standins.world import WorldSpec

    asyncio.run(serve_standins(directory, WorldSpec(nodes=nodes)))


def main() -> None:
    """Run the command line."""
    app()
