"""Maps each refusal to the HTTP status and problem document sent to the caller.

The document follows RFC 9457, with an outcome added: ``not-run`` if the request was
certainly not executed, ``outcome-unknown`` if it may have been.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, TypedDict

from burdockhitch import errors
from burdockhitch.errors import RequestRefusedError, error_name
from burdockhitch.messages import Refusal
from burdockhitch.registry import Registry

OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "outcome-unknown"
TYPE_PREFIX = "urn:burdockhitch:problem:"


class Problem(NamedTuple):
    """How one type of refusal is presented to callers.

    Attributes:
        error_type: Type of the refusal.
        status: HTTP status of the answer.
        title: Short summary for people.
        proxy_error: Error type of RFC 9209 for the ``Proxy-Status`` header.
    """

    error_type: type[RequestRefusedError]
    status: HTTPStatus
    title: str
    proxy_error: str


class ProblemDocument(TypedDict):
    """Body of a refusal: a problem document with the outcome added."""

    type: str
    title: str
    status: int
    detail: str
    instance: str
    outcome: str


problems: Registry[Problem] = Registry("problem")


def _register_problem(
    error_type: type[RequestRefusedError],
    status: HTTPStatus,
    title: str,
    proxy_error: str = "http_request_denied",
) -> None:
    decorator: Callable[[Problem], Problem] = problems(error_name(error_type))
    decorator(Problem(error_type, status, title, proxy_error))


_register_problem(errors.RouteNotFoundError, HTTPStatus.NOT_FOUND, "No such route")
_register_problem(
    errors.HomeTokenRequiredError,
    HTTPStatus.PRECONDITION_REQUIRED,
    "A key with a token is required",
)
_register_problem(
    errors.KeyRequiredError, HTTPStatus.PRECONDITION_REQUIRED, "A key is required"
)
_register_problem(
    errors.KeyReusedError,
    HTTPStatus.UNPROCESSABLE_ENTITY,
    "The key belongs to another request",
)
_register_problem(
    errors.BodyTooLargeError,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    "The body is too large",
)
_register_problem(
    errors.BodyRefusedError,
    HTTPStatus.SERVICE_UNAVAILABLE,
    "No memory is left for the body",
)
_register_problem(
    errors.AccountUnknownError,
    HTTPStatus.UNAUTHORIZED,
    "A key of a client account is required",
)
_register_problem(
    errors.ConfigurationOutdatedError,
    HTTPStatus.SERVICE_UNAVAILABLE,
    "The configuration may be out of date",
)
_register_problem(
    errors.RateLimitedError, HTTPStatus.TOO_MANY_REQUESTS, "The account is over rate"
)
_register_problem(
    errors.OverloadedError, HTTPStatus.SERVICE_UNAVAILABLE, "No slot came free"
)
_register_problem(
    errors.DeadlineTooShortError,
    HTTPStatus.SERVICE_UNAVAILABLE,
    "The deadline is too short",
)
_register_problem(
    errors.NoBackendServerError,
    HTTPStatus.SERVICE_UNAVAILABLE,
    "No backend server can be reached",
    "destination_unavailable",
)
_register_problem(
    errors.PoisonRequestError,
    HTTPStatus.SERVICE_UNAVAILABLE,
    "The request ends the backend servers that run it",
)
_register_problem(
    errors.PlatformClaimError,
    HTTPStatus.SERVICE_UNAVAILABLE,
    "The key can't be recorded",
)
_register_problem(
    errors.NotReadyError, HTTPStatus.SERVICE_UNAVAILABLE, "No configuration yet"
)
_register_problem(
    errors.AnswerLostError,
    HTTPStatus.GATEWAY_TIMEOUT,
    "No whole answer came back",
    "http_response_incomplete",
)
_register_problem(
    errors.HomeGoneError, HTTPStatus.GATEWAY_TIMEOUT, "The record of the key is gone"
)
_register_problem(errors.ClaimHeldError, HTTPStatus.CONFLICT, "The key is claimed")


def is_not_run(error: str) -> bool:
    """Return whether a registered refusal proves that the request was not executed.

    Raises:
        UnknownNameError: If no problem of this name is registered.
    """
    return issubclass(problems[error].error_type, errors.NotRunError)


def refusal_outcome(error: str) -> str:
    """Return the outcome value for a registered refusal."""
    return OUTCOME_NOT_RUN if is_not_run(error) else OUTCOME_UNKNOWN


def make_problem_document(refusal: Refusal, request_id: str) -> ProblemDocument:
    """Return the problem document of a refusal, with the request id as instance."""
    problem = problems[refusal.error]
    return ProblemDocument(
        type=TYPE_PREFIX + refusal.error,
        title=problem.title,
        status=int(problem.status),
        detail=refusal.detail,
        instance=request_id,
        outcome=refusal_outcome(refusal.error),
    )
