"""The commands that grant and withdraw keys."""

from typing import Annotated

import typer

from cassiaford.cli._app import app
from cassiaford.cli._customer import get_customer
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
    reporting_errors,
)
from cassiaford.config import PutKey, RemoveKey, issue_key
from cassiaford.fleet import UnknownOutcomeError

keys = typer.Typer(
    help="Grant and withdraw keys.", epilog=EXIT_CODES_HELP, no_args_is_help=True
)
app.add_typer(keys, name="key")


@keys.command(epilog=EXIT_CODES_HELP)
def grant(
    customer: str,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    author: AuthorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Grant a customer a new key and print it; it is not shown again."""
    with reporting_errors():
        log = open_log(key_value, settings)
        base = log.load()
        get_customer(base, customer)
        issued = issue_key(customer)
        try:
            revision = write_revision(log, base, [PutKey(issued.entry)], author)
        except UnknownOutcomeError:
            typer.echo(
                f"error: key {issued.entry.key_id} may be in force but is lost; "
                "withdraw it once the service responds",
                err=True,
            )
            raise
        if as_json:
            print_json(
                {
                    "key": issued.text,
                    "key_id": issued.entry.key_id,
                    "customer": customer,
                    "revision": revision.number,
                }
            )
        else:
            typer.echo(issued.text)


@keys.command(epilog=EXIT_CODES_HELP)
def withdraw(
    key_id: Annotated[
        str, typer.Argument(help="The middle part of the key: cf-KEY_ID-secret.")
    ],
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    author: AuthorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Withdraw a key; every instance refuses it within seconds."""
    with reporting_errors():
        log = open_log(key_value, settings)
        base = log.load()
        if key_id not in base.keys:
            raise CommandError(
                "no key has this identifier (pass only the KEY_ID part of a key)"
            )
        revision = write_revision(log, base, [RemoveKey(key_id)], author)
        print_revision(revision, as_json)
