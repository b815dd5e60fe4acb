"""Parsing of TOML documents, which are validated as a whole against a data class."""

from cassiaford.documents._check import DocumentError, parse_document, read_text

__all__ = ["DocumentError", "parse_document", "read_text"]
