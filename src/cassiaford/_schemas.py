"""Loading of the schemas of messages between instances."""

import pathlib

import capnp

# The import hook of capnp would search for a schema at every failed import.
capnp.remove_import_hook()


def load_schema(module_file: str, name: str):
    """Return the Cap'n Proto schema in a file next to a module's file.

    Examples
    --------
    >>> import cassiaford.gateway
    >>> schema = load_schema(cassiaford.gateway.__file__, "peers.capnp")
    >>> schema.Work.new_message(running=3).running
    3
    """
    return capnp.load(str(pathlib.Path(module_file).with_name(name)))
