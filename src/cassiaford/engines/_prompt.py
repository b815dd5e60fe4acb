"""The prompt of a request, and the chained hashes of its blocks.

The hash of a block covers all text before it, the customer, the model and the
weights version. So it identifies a cached prefix, and prompts of different
customers or versions never share a hash.
"""

from collections.abc import Mapping

import xxhash

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 1024 * BYTES_PER_TOKEN


def cache_scope(customer: str, model: str, version: str) -> int:
    """Return the hash that starts the block chains of a scope."""
    text = "\0".join((customer, model, version))
    return xxhash.xxh3_64_intdigest(text.encode("utf-8"))


def prompt_text(body: Mapping[str, object]) -> bytes:
    """Return the prompt of a request body as one text.

    Takes the body of a chat completion (`messages`) or of a completion
    (`prompt`). Raises `ValueError` if it has neither in a valid form.
    """
    if "messages" in body:
        return _chat_text(body["messages"])
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise ValueError("'messages' or a 'prompt' of type string is required")
    return prompt.encode("utf-8", "surrogatepass")


def shared_parts(body: Mapping[str, object]) -> tuple[str, ...]:
    """Return the parts of a request body's prompt that others may share.

    These are all messages but the last one. The body must be valid.
    """
    return tuple(map(_message_text, body.get("messages", ())[:-1]))


def block_chain(scope: int, text: bytes) -> tuple[int, ...]:
    """Return the chained hash of each whole block of a prompt.

    Examples
    --------
    >>> len(block_chain(1, b"x" * (2 * BLOCK_BYTES + 1)))
    2
    """
    chain = []
    parent = scope
    for end in range(BLOCK_BYTES, len(text) + 1, BLOCK_BYTES):
        block = text[end - BLOCK_BYTES : end]
        parent = xxhash.xxh3_64_intdigest(parent.to_bytes(8, "big") + block)
        chain.append(parent)
    return tuple(chain)


def _chat_text(messages):
    if not isinstance(messages, list) or not messages:
        raise ValueError("'messages' must be a list with at least one message")
    text = "".join(_message_text(message) for message in messages)
    return text.encode("utf-8", "surrogatepass")


def _message_text(message):
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise ValueError("each message needs a 'role' of type string")
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(_part_text(part) for part in content)
    if content is None:
        content = ""
    if not isinstance(content, str):
        raise ValueError("a message's 'content' must be a string or a list of parts")
    return f"<|{message['role']}|>{content}"


def _part_text(part):
    if not isinstance(part, dict) or not isinstance(part.get("text"), str):
        raise ValueError("each part of a message needs a 'text' of type string")
    return part["text"]
