"""Decoding of input from outside the process."""

from __future__ import annotations

from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

Model = TypeVar("Model")

# Besides its own errors, msgspec raises RecursionError for deep nesting,
# ValueError for numbers of too many digits and OverflowError for numbers that
# do not fit the type.
_DECODING_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)


class BoundaryDecoder(Generic[Model]):
    """Decodes input into a model; any input gives a value or a problem.

    What a caller, worker, operator or another writer of a table sends must
    not end the task that reads it.
    """

    def __init__(self, model: Any) -> None:
        """Create a decoder.

        :param model: type with its bounds, ``Any`` for any JSON value
        """
        self._model = model
        self._json_decoder: msgspec.json.Decoder[Model]
        self._json_decoder = msgspec.json.Decoder(model)

    def decode(self, data: bytes | str) -> Result[Model, str]:
        """Decode JSON.

        :returns: the value, or a message that names the problem
        """
        try:
            return Ok(self._json_decoder.decode(data))
        except _DECODING_ERRORS as error:
            return Err(_problem(error))

    def convert(self, value: Any) -> Result[Model, str]:
        """Convert a value that was decoded without a model.

        :returns: the value, or a message that names the problem
        """
        try:
            return Ok(msgspec.convert(value, self._model))
        except _DECODING_ERRORS as error:
            return Err(_problem(error))


def _problem(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return "it is nested too deeply"
    return str(error) or type(error).__name__
