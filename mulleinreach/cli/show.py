"""Writes answers as text for people, or as JSON."""

from __future__ import annotations

import datetime
import json

import typer

from mulleinreach.cli.client import Output


def show(answer: dict | list, output: Output, text: list[str]) -> None:
    """Write ``answer`` as JSON, or the lines of ``text``."""
    if output is Output.JSON:
        typer.echo(json.dumps(answer, indent=2))
        return
    for line in text:
        typer.echo(line)


def table(rows: list[dict]) -> list[str]:
    """Return rows as lines with aligned columns.

    Examples
    ========

    >>> table([{"a": 1, "b": "x"}, {"a": 22, "b": "y"}])
    ['A   B', '1   x', '22  y']
    """
    if not rows:
        return ["(none)"]
    names = list(rows[0])
    cells = [[name.upper() for name in names]]
    cells += [[_format_cell(row[name]) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    lines = []
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return lines


def _format_cell(value: object) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def describe_plan(plan: dict) -> list[str]:
    """Return a plan as lines."""
    lines = [f"plan {plan['id']} from intent version {plan['basis']}"]
    lines += [f"  {line}" for line in plan["lines"]]
    return lines + [f"nothing has changed; to carry it out: mulleinreach confirm {plan['id']}"]


def describe_confirmation(answer: dict) -> list[str]:
    """Return what a confirmation came to, as lines."""
    if answer["accepted"]:
        state = f"in force on every host after {answer['seconds']} s"
    else:
        state = f"written, not yet in force everywhere: {answer['detail']}"
    again = " (it was confirmed before)" if answer["repeated"] else ""
    return [f"configuration {answer['config_version']} {state}{again}"]


def describe_config(answer: dict) -> list[str]:
    """Return the configuration as lines."""
    lines = [
        f"version {answer['version']}: {answer['detail']}",
        f"voters: {', '.join(answer['voters']) or 'none'}",
        f"drained hosts: {', '.join(answer['drained_hosts']) or 'none'}",
    ]
    for service in answer["intent"]["services"]:
        lines.append(f"service {service['name']}: {service['replicas']} x {service['kind']}")
    for organisation in answer["intent"]["organisations"]:
        rate, limit = organisation["rate"], organisation["concurrency"]
        lines.append(f"organisation {organisation['name']}: {rate}/s, {limit} in flight")
    return lines


def describe_audit(entries: list[dict]) -> list[str]:
    """Return audit entries as lines."""
    lines = []
    for entry in entries:
        at = datetime.datetime.fromtimestamp(entry["at"], datetime.UTC).isoformat("T", "seconds")
        lines.append(
            f"{at} {entry['node']} {entry['actor']}: {entry['action']} {entry['subject']}:"
            f" {entry['why']}"
        )
    return lines or ["(none)"]
