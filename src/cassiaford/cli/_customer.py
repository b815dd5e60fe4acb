"""The commands that create and show customers."""

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
    write_revision,
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

Rate = Annotated[float, typer.Option(help="Tokens per second.", min=0.001)]
Burst = Annotated[float, typer.Option(help="Maximum tokens at once.", min=0.001)]
Models = Annotated[list[str], typer.Option("--model", help="A model; may be repeated.")]


@customers.command(epilog=EXIT_CODES_HELP)
def create(
    name: str,
    rate: Rate,
    burst: Burst,
    model: Models = [],  # noqa: B006
    replace: Annotated[
        bool, typer.Option("--replace", help="Change an existing customer.")
    ] = False,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    author: AuthorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Create a customer with a rate and a burst for the whole fleet."""
    with reporting_errors():
        log = open_log(key_value, settings)
        base = log.load()
        _check_customer(base, name, model, replace)
        customer = Customer(name, rate, burst, tuple(model))
        revision = write_revision(log, base, [PutCustomer(customer)], author)
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
        customer = get_customer(configuration, name)
        key_ids = key_ids_of(configuration, name)
        if as_json:
            print_json(_as_document(customer, key_ids))
            return
        typer.echo(f"customer {customer.name}")
        typer.echo(f"rate     {customer.rate:g} tokens a second")
        typer.echo(f"burst    {customer.burst:g} tokens")
        typer.echo(f"models   {' '.join(customer.models) or 'none'}")
        typer.echo(f"keys     {' '.join(key_ids) or 'none'}")


@customers.command("list", epilog=EXIT_CODES_HELP)
def list_customers(
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    as_json: JsonOption = False,
) -> None:
    """List all customers."""
    with reporting_errors():
        configuration = open_log(key_value, settings).load()
        listed = sorted(configuration.customers.values(), key=lambda c: c.name)
        if as_json:
            print_json(
                [_as_document(c, key_ids_of(configuration, c.name)) for c in listed]
            )
            return
        rows = [
            (c.name, f"{c.rate:g}", f"{c.burst:g}", " ".join(c.models)) for c in listed
        ]
        print_table(("CUSTOMER", "RATE", "BURST", "MODELS"), rows)


def get_customer(configuration: Configuration, name: str) -> Customer:
    """Return a customer by name; raises `CommandError` if it does not exist."""
    if name not in configuration.customers:
        raise CommandError(f"no customer named {name!r}")
    return configuration.customers[name]


def key_ids_of(configuration: Configuration, name: str) -> list[str]:
    """Return the identifiers of a customer's keys."""
    return sorted(
        key.key_id for key in configuration.keys.values() if key.customer == name
    )


def _check_customer(base, name, models, replace):
    if name in base.customers and not replace:
        raise CommandError(f"customer {name!r} exists; use --replace to change it")
    for model in models:
        if model not in base.models:
            raise CommandError(f"no model named {model!r}")


def _as_document(customer, key_ids):
    return {**asdict(customer), "keys": key_ids}
