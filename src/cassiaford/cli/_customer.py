"""The commands about customers."""

from dataclasses import asdict
from typing import Annotated

import typer

from cassiaford.cli._app import app
from cassiaford.cli._options import (
    AuthorOption,
    JsonOption,
    KeyValueOption,
    SettingsOption,
    open_log,
    write,
)
from cassiaford.cli._output import (
    EXIT_CODES_HELP,
    CommandError,
    print_json,
    print_revision,
    print_table,
    reporting_errors,
)
from cassiaford.config import Configuration, Customer, PutCustomer

customers = typer.Typer(
    help="Create and show customers.", epilog=EXIT_CODES_HELP, no_args_is_help=True
)
app.add_typer(customers, name="customer")

Rate = Annotated[float, typer.Option(help="Tokens a second.", min=0.001)]
Burst = Annotated[float, typer.Option(help="Tokens at once.", min=0.001)]
Models = Annotated[list[str], typer.Option("--model", help="A model; may be repeated.")]


@customers.command(epilog=EXIT_CODES_HELP)
def create(
    name: str,
    rate: Rate,
    burst: Burst,
    model: Models = [],  # noqa: B006
    replace: Annotated[
        bool, typer.Option("--replace", help="Alter a customer that exists.")
    ] = False,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    author: AuthorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Create a customer with a rate and a burst over the whole fleet."""
    with reporting_errors():
        log = open_log(key_value, settings)
        base = log.load()
        _check(base, name, model, replace)
        customer = Customer(name, rate, burst, tuple(model))
        revision = write(log, base, [PutCustomer(customer)], author)
        print_revision(revision, as_json)


@customers.command(epilog=EXIT_CODES_HELP)
def show(
    name: str,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show a customer and the identifiers of its keys."""
    with reporting_errors():
        configuration = open_log(key_value, settings).load()
        customer = find(configuration, name)
        keys = keys_of(configuration, name)
        if as_json:
            print_json(_as_document(customer, keys))
            return
        typer.echo(f"customer {customer.name}")
        typer.echo(f"rate     {customer.rate:g} tokens a second")
        typer.echo(f"burst    {customer.burst:g} tokens")
        typer.echo(f"models   {' '.join(customer.models) or 'none'}")
        typer.echo(f"keys     {' '.join(keys) or 'none'}")


@customers.command("list", epilog=EXIT_CODES_HELP)
def list_customers(
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    as_json: JsonOption = False,
) -> None:
    """List all customers."""
    with reporting_errors():
        configuration = open_log(key_value, settings).load()
        found = sorted(configuration.customers.values(), key=lambda c: c.name)
        if as_json:
            print_json([_as_document(c, keys_of(configuration, c.name)) for c in found])
            return
        rows = [
            (c.name, f"{c.rate:g}", f"{c.burst:g}", " ".join(c.models)) for c in found
        ]
        print_table(("CUSTOMER", "RATE", "BURST", "MODELS"), rows)


def find(configuration: Configuration, name: str) -> Customer:
    """Return a customer by name; raises `CommandError` if there is none."""
    if name not in configuration.customers:
        raise CommandError(f"no customer named {name!r}")
    return configuration.customers[name]


def keys_of(configuration: Configuration, name: str) -> list[str]:
    """Return the identifiers of a customer's keys."""
    return sorted(
        key.key_id for key in configuration.keys.values() if key.customer == name
    )


def _check(base, name, models, replace):
    if name in base.customers and not replace:
        raise CommandError(f"customer {name!r} exists; --replace alters it")
    for model in models:
        if model not in base.models:
            raise CommandError(f"no model named {model!r}")


def _as_document(customer, keys):
    return {**asdict(customer), "keys": keys}
