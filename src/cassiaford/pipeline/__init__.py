"""Request processing: receive, authenticate, admit, dispatch, relay, finalize."""

from cassiaford.pipeline._admit import (
    AdmitFilter,
    Limiter,
)
from cassiaford.pipeline._authenticate import (
    AuthenticateFilter,
)
from cassiaford.pipeline._dispatch import (
    Dispatcher,
    create_dispatcher,
)
from cassiaford.pipeline._filter import (
    Filter,
    run_filters,
)
from cassiaford.pipeline._http_responses import (
    http_head,
    refusal_body,
    refusal_headers,
    refusal_response,
)
from cassiaford.pipeline._messages import (
    AdmittedRequest,
    AuthenticatedRequest,
    CallerRequest,
    Header,
    ModelCall,
    Outcome,
    ServiceClass,
    Usage,
)
from cassiaford.pipeline._receive import (
    RawRequest,
    ReceiveFilter,
)
from cassiaford.pipeline._suspects import (
    SuspectPolicy,
)
from cassiaford.pipeline._versions import (
    ServedVersions,
)

__all__ = [
    "AdmitFilter",
    "AdmittedRequest",
    "AuthenticateFilter",
    "AuthenticatedRequest",
    "CallerRequest",
    "Dispatcher",
    "Filter",
    "Header",
    "Limiter",
    "ModelCall",
    "Outcome",
    "RawRequest",
    "ReceiveFilter",
    "ServedVersions",
    "ServiceClass",
    "SuspectPolicy",
    "Usage",
    "create_dispatcher",
    "http_head",
    "refusal_body",
    "refusal_headers",
    "refusal_response",
    "run_filters",
]
