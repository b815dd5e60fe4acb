"""The filter interface and the function that runs a chain of filters."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Generic, TypeVar

from cassiaford.verdict import Refusal

In = TypeVar("In")
Out = TypeVar("Out")


class Filter(ABC, Generic[In, Out]):
    """One step in the processing of a request.

    A filter takes one typed message and returns the next, or the refusal
    that ends the request.
    """

    @abstractmethod
    def process(self, message: In) -> Out | Refusal:
        """Return the next message, or a refusal."""


def run_filters(filters: Sequence[Filter], message: object) -> object:
    """Pass a message through filters in order; return early on a refusal."""
    for step in filters:
        message = step.process(message)
        if isinstance(message, Refusal):
            break
    return message
