"""Parsing of model calls from request bodies."""

import json
import math

from cassiaford.config import Configuration, Customer
from cassiaford.engines import BYTES_PER_TOKEN, block_chain, cache_scope, prompt_text
from cassiaford.pipeline._messages import CallerRequest, ModelCall, ServiceClass
from cassiaford.verdict import Refusal, RefusalReason, refuse

# A request whose output limit is at most this is a quick check.
INTERACTIVE_MAX_OUTPUT_TOKENS = 16
MAX_CHOICES = 16
_CLASS_BY_TIER = {"priority": ServiceClass.INTERACTIVE, "flex": ServiceClass.BATCH}


def parse_model_call(
    caller: CallerRequest, customer: Customer, configuration: Configuration
) -> ModelCall | Refusal:
    """Return the model call in a request, or a refusal if it is invalid."""
    try:
        body = _parse_object(caller.body)
        text = prompt_text(body)
        streaming = _boolean(body, "stream")
        requested = _requested_output(body)
        choices = _positive_integer(body, "n", MAX_CHOICES) or 1
    except ValueError as error:
        return refuse(RefusalReason.BAD_REQUEST, str(error))
    model = _find_model(body, customer, configuration)
    if isinstance(model, Refusal):
        return model
    max_output = min(requested or model.max_output, model.max_output)
    scope = cache_scope(customer.name, model.name, model.version)
    return ModelCall(
        model=model,
        body=_with_output_limit(body, max_output),
        streaming=streaming,
        prompt_tokens=math.ceil(len(text) / BYTES_PER_TOKEN),
        max_output=max_output * choices,
        scope=scope,
        chain=block_chain(scope, text),
    )


def service_class_of(call: ModelCall) -> ServiceClass:
    """Return the class that a model call requests, or one by its output limit."""
    tier = call.body.get("service_tier")
    if isinstance(tier, str) and tier in _CLASS_BY_TIER:
        return _CLASS_BY_TIER[tier]
    if call.max_output <= INTERACTIVE_MAX_OUTPUT_TOKENS:
        return ServiceClass.INTERACTIVE
    return ServiceClass.STANDARD


def _parse_object(text):
    try:
        body = json.loads(text.decode("utf-8"), parse_constant=_reject_constant)
    except UnicodeDecodeError:
        raise ValueError("the body is not valid UTF-8") from None
    except (json.JSONDecodeError, RecursionError) as error:
        raise ValueError(f"the body is not valid JSON: {error}") from None
    if not isinstance(body, dict):
        raise ValueError("the body must be a JSON object")
    return body


def _reject_constant(name):
    raise ValueError(f"the body is not valid JSON: {name} is not a number")


def _boolean(body, name):
    value = body.get(name)
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{name!r} must be true or false")
    return bool(value)


def _requested_output(body):
    limits = [
        _positive_integer(body, "max_completion_tokens"),
        _positive_integer(body, "max_tokens"),
    ]
    given = [limit for limit in limits if limit is not None]
    return min(given) if given else None


def _positive_integer(body, name, maximum=None):
    value = body.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ValueError(f"{name!r} must be a whole number of at least 1")
    if maximum is not None and value > maximum:
        raise ValueError(f"{name!r} must be at most {maximum}")
    return value


def _with_output_limit(body, max_output):
    # The engine must not produce more output than was charged.
    name = "max_completion_tokens" if "max_completion_tokens" in body else "max_tokens"
    limited = dict(body)
    limited[name] = max_output
    if name == "max_completion_tokens":
        limited.pop("max_tokens", None)
    return limited


def _find_model(body, customer, configuration):
    name = body.get("model")
    if not isinstance(name, str) or not name:
        return refuse(RefusalReason.BAD_REQUEST, "'model' is required")
    model = configuration.models.get(name)
    if model is None:
        return refuse(RefusalReason.UNKNOWN_MODEL, f"no model named {name[:100]!r}")
    if name not in customer.models:
        return refuse(
            RefusalReason.MODEL_NOT_PERMITTED,
            f"customer {customer.name} may not use model {name!r}",
        )
    return model
